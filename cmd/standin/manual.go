package main

// manualPage is the manual page of the program.
const manualPage = `NAME
   standin - run a stand-in for an endpoint of a router fleet

SYNOPSIS
   standin engine --endpoint NAME --service NAME [FLAGS]
   standin orders --endpoint NAME --service NAME [FLAGS]
   standin help engine
   standin help orders

DESCRIPTION
   standin engine serves an OpenAI-style model engine. It runs --slots
   requests at once and queues all others in order of arrival. The response to
   a prompt repeats the words of the prompt up to max_tokens, so that a caller
   can check that it got the complete response to its own request.

   standin orders serves a plain order service, which counts how often each
   booking ran.

   Both announce themselves to the first daemon of --announce-to that accepts
   the announcement, and renew it every --announce-interval. On SIGTERM or
   SIGINT they announce that they are leaving, keep serving for --leave-delay,
   finish the requests in flight and exit. A second signal stops them at once.
   Both print "listening on IP:PORT" once they are serving, and log to standard
   error in JSON. Their flags are listed by standin help engine and standin
   help orders.

REQUESTS OF BOTH
   GET  /health            200, with the header Oleanderramp-Incarnation
   GET  /control/status    load, requests served, requests served while leaving
   POST /control/faults    enable a fault, see FAULTS

REQUESTS OF AN ENGINE
   POST /v1/chat/completions, POST /v1/completions
                           with "stream": true as server-sent events
   GET  /v1/models
   GET  /v1/streams/ID?from=N
                           the events of request ID, starting at number N
   POST /v1/streams/ID/cancel
   POST /v1/orders         {"order": "load_model", "name": "m", "fence": 3}
                           also load_adapter and set_role; with
                           --checks-fencing an older fence is refused with 409
   GET  /control/orders    the executed orders

REQUESTS OF AN ORDER SERVICE
   POST /bookings          {"order": "stand-12-power"}, answered with 201
   GET  /bookings/ID
   GET  /status
   GET  /control/runs      how often each order ran

FAULTS
   POST /control/faults takes {"fault": KIND, "count": N, ...}. Without count,
   or with 0, the fault stays enabled until it is cleared.

   silent      connections that are open now never send again; new ones work
   pause       send nothing for "pause_ms", on open and on new connections,
               then go on; announcements continue
   late        delay the start of responses by "delay_ms"
   truncate    close the connection in the middle of a response, or after
               "after_events" events of a stream
   crash       exit with 70 when a request contains "marker"
   leave       announce leaving, and keep serving
   refuse      respond with 503 and state that the request did not run
   wrong_id    respond with another request id
   clear       disable all faults

EXIT STATUS
   0   stopped by a signal, all requests finished
   1   stopped by a second signal, requests were aborted
   2   invalid flags, or the address is in use
   70  crashed by the crash fault

EXAMPLE
   standin engine --endpoint e1 --service manuals --listen 127.0.0.1:9001 \
      --announce-to http://127.0.0.1:7002
   curl -sN 127.0.0.1:9001/v1/completions \
      -d '{"prompt": "how high may a stand be", "stream": true}'
`
