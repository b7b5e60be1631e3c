package main

// manualPage is the manualPage page of the program.
const manualPage = `NAME
   standin - stand in for an endpoint of a router fleet

SYNOPSIS
   standin engine --endpoint NAME --service NAME [FLAGS]
   standin orders --endpoint NAME --service NAME [FLAGS]
   standin help engine
   standin help orders

DESCRIPTION
   standin engine serves an OpenAI-style model engine. It runs --slots
   requests at once and queues all others as they arrive. The answer to a
   prompt is its own words over and over, max_tokens of them, so that a caller
   can check that it got the whole answer to its own request.

   standin orders serves a plain order service, which counts how often each
   booking ran.

   Both announce themselves to the first daemon of --announce-to that takes
   the announcement, and renew it each --announce-interval. On SIGTERM or
   SIGINT they announce that they leave, go on serving for --leave-delay,
   finish the requests in flight and exit. A second signal ends them at once.
   Both print "listening on IP:PORT" once they serve, and log to standard
   error in JSON. The flags are listed by standin help engine, or orders.

REQUESTS OF BOTH
   GET  /health            200, with the header Oleanderramp-Incarnation
   GET  /control/status    load, requests served, requests served on leaving
   POST /control/faults    switch a fault on, see FAULTS

REQUESTS OF AN ENGINE
   POST /v1/chat/completions, POST /v1/completions
                           with "stream": true as server-sent events
   GET  /v1/models
   GET  /v1/streams/ID?from=N
                           the events of request ID from number N on
   POST /v1/streams/ID/cancel
   POST /v1/orders         {"order": "load_model", "name": "m", "fence": 3}
                           also load_adapter and set_role; with
                           --checks-fencing an older fence is refused with 409
   GET  /control/orders    the orders carried out

REQUESTS OF AN ORDER SERVICE
   POST /bookings          {"order": "stand-12-power"}, answered with 201
   GET  /bookings/ID
   GET  /status
   GET  /control/runs      how often each order ran

FAULTS
   POST /control/faults takes {"fault": KIND, "count": N, ...}. Without count,
   or with 0, the fault stays on until it is cleared.

   silent      connections that are open now go silent for good; new ones work
   late        answers begin "delay_ms" later
   truncate    the connection is closed in the middle of an answer, of a
               stream after "after_events" events
   crash       the process exits with 70 when a request contains "marker"
   leave       announce leaving, and go on serving
   refuse      answer 503 and state that the request did not run
   wrong_id    echo another request id
   clear       switch all faults off

EXIT STATUS
   0   ended by a signal, all requests finished
   1   ended by a second signal, requests were cut off
   2   wrong flags, or the address is taken
   70  crashed by the fault

EXAMPLE
   standin engine --endpoint e1 --service manuals --listen 127.0.0.1:9001 \
      --announce-to http://127.0.0.1:7002
   curl -sN 127.0.0.1:9001/v1/completions \
      -d '{"prompt": "how high may a stand be", "stream": true}'
`
