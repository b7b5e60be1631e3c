package sessions_test

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"oleanderramp/pkg/bundle"
)

// TestSessions runs the scripts of testdata. With the environment variable
// UPDATE_GOLDEN set, it updates their golden files.
func TestSessions(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
		UpdateScripts:       os.Getenv("UPDATE_GOLDEN") != "",
		Setup: func(env *testscript.Env) error {
			env.Setenv("PATH", binFolder+string(os.PathListSeparator)+env.Getenv("PATH"))
			env.Setenv("OLEANDERRAMP_OPERATOR_KEY", "key-of-operator-1")
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"fleet": cmdFleet, "standin": cmdStandin, "request": cmdRequest, "await-version": cmdAwaitVersion,
			"sigkill": cmdKill, "terminate": cmdTerminate, "await-exit": cmdAwaitExit, "start": cmdStart,
			"await-endpoint": cmdAwaitEndpoint, "background": cmdBackground, "await-response": cmdAwaitResponse,
			"write-bundle": cmdWriteBundle, "accept-bundle": cmdAcceptBundle,
		},
	})
}

type scriptState struct {
	fleet *fleet
	// answers holds the rendered responses to background requests by name.
	answers map[string]chan string
}

// states holds the *scriptState of each running script, by its WORK folder.
var states sync.Map

func stateOf(ts *testscript.TestScript) *scriptState {
	s, ok := states.Load(ts.Getenv("WORK"))
	if !ok {
		ts.Fatalf("the script has no fleet: use the command fleet first")
	}
	return s.(*scriptState)
}

func check(ts *testscript.TestScript, err error) {
	if err != nil {
		ts.Fatalf("%v", err)
	}
}

func parseInt(ts *testscript.TestScript, text string) int {
	n, err := strconv.Atoi(text)
	check(ts, err)
	return n
}

// cmdFleet starts a fleet of SIZE daemons: fleet SIZE.
func cmdFleet(ts *testscript.TestScript, _ bool, args []string) {
	f := newFleet(ts.Getenv("WORK"), parseInt(ts, args[0]))
	states.Store(ts.Getenv("WORK"), &scriptState{fleet: f, answers: make(map[string]chan string)})
	ts.Defer(f.closeAll)
	check(ts, f.startAll())
	ts.Setenv("OLEANDERRAMP_SERVER", f.operatorsURL(1))
}

// cmdWriteBundle writes bundle.json and sets DIGEST to its digest:
// write-bundle ACCOUNTS PARENT.
func cmdWriteBundle(ts *testscript.TestScript, _ bool, args []string) {
	data := encode(newDocument(parseInt(ts, args[0]), uint64(parseInt(ts, args[1]))))
	check(ts, os.WriteFile(ts.MkAbs("bundle.json"), data, 0o600))
	parsed, err := bundle.Parse(data)
	check(ts, err)
	ts.Setenv("DIGEST", parsed.Digest().String())
}

// cmdAcceptBundle proposes, signs off and accepts the first bundle and waits
// until it is in force at all daemons: accept-bundle ACCOUNTS.
func cmdAcceptBundle(ts *testscript.TestScript, _ bool, args []string) {
	f := stateOf(ts).fleet
	check(ts, f.accept(newDocument(parseInt(ts, args[0]), 0)))
	cmdAwaitVersion(ts, false, []string{"1"})
}

// cmdStandin starts a stand-in: standin KIND NAME NUMBER [FLAGS].
func cmdStandin(ts *testscript.TestScript, _ bool, args []string) {
	check(ts, stateOf(ts).fleet.startStandin(args[0], args[1], parseInt(ts, args[2]), args[3:]...))
}

// cmdAwaitVersion waits until a bundle version is in force at all daemons:
// await-version VERSION.
func cmdAwaitVersion(ts *testscript.TestScript, _ bool, args []string) {
	f := stateOf(ts).fleet
	for n := 1; n <= f.size; n++ {
		check(ts, f.awaitVersion(n, uint64(parseInt(ts, args[0]))))
	}
}

// cmdAwaitEndpoint waits until an endpoint is in a state, by default available:
// await-endpoint NAME [STATE].
func cmdAwaitEndpoint(ts *testscript.TestScript, _ bool, args []string) {
	want := "available"
	if len(args) > 1 {
		want = args[1]
	}
	check(ts, waitFor("endpoint "+args[0], func() error {
		cmd := exec.Command(binaryPath("oleanderramp"), "endpoint", "list", "--server", stateOf(ts).fleet.operatorsURL(1))
		cmd.Env = append(os.Environ(), "OLEANDERRAMP_OPERATOR_KEY=key-of-operator-1")
		list, err := cmd.CombinedOutput()
		if err != nil {
			return fmt.Errorf("%w: %s", err, list)
		}
		for _, line := range strings.Split(string(list), "\n") {
			if strings.Contains(line, " "+args[0]+" ") && strings.Contains(line, " "+want+" ") {
				return nil
			}
		}
		return fmt.Errorf("endpoint is not %s:\n%s", want, list)
	}))
}

// cmdKill kills a process and waits until it has exited: sigkill NAME.
func cmdKill(ts *testscript.TestScript, _ bool, args []string) {
	check(ts, stateOf(ts).fleet.kill(args[0]))
}

// cmdTerminate sends SIGTERM to a process: terminate NAME.
func cmdTerminate(ts *testscript.TestScript, _ bool, args []string) {
	check(ts, stateOf(ts).fleet.signal(args[0], syscall.SIGTERM))
}

// cmdAwaitExit waits until a process exits and checks its exit code:
// await-exit NAME CODE.
func cmdAwaitExit(ts *testscript.TestScript, _ bool, args []string) {
	code, err := stateOf(ts).fleet.awaitExit(args[0])
	check(ts, err)
	if code != parseInt(ts, args[1]) {
		ts.Fatalf("%s exited with code %d, want %s:\n%s", args[0], code, args[1], stateOf(ts).fleet.procs[args[0]].stderr)
	}
}

// cmdStart starts a daemon again: start NUMBER.
func cmdStart(ts *testscript.TestScript, _ bool, args []string) {
	check(ts, stateOf(ts).fleet.startDaemon(parseInt(ts, args[0]), false))
}

// cmdRequest sends a request and prints the normalized response:
// request DAEMON ACCOUNT METHOD PATH [HEADER=VALUE]... [BODY].
func cmdRequest(ts *testscript.TestScript, _ bool, args []string) {
	text, err := doRequest(stateOf(ts).fleet, args)
	check(ts, err)
	_, _ = ts.Stdout().Write([]byte(text))
}

// cmdBackground sends a request and waits only for the response header:
// background NAME DAEMON ...
func cmdBackground(ts *testscript.TestScript, _ bool, args []string) {
	state := stateOf(ts)
	response, err := sendRequest(state.fleet, args[1:])
	check(ts, err)
	answer := make(chan string, 1)
	state.answers[args[0]] = answer
	go func() {
		text, err := renderResponse(response)
		if err != nil {
			text = fmt.Sprintf("error: %v\n", err)
		}
		answer <- text
	}()
}

// cmdAwaitResponse waits for the response to a background request and prints it:
// await-response NAME.
func cmdAwaitResponse(ts *testscript.TestScript, _ bool, args []string) {
	_, _ = ts.Stdout().Write([]byte(<-stateOf(ts).answers[args[0]]))
}

func doRequest(f *fleet, args []string) (string, error) {
	response, err := sendRequest(f, args)
	if err != nil {
		return "", err
	}
	return renderResponse(response)
}

func sendRequest(f *fleet, args []string) (*http.Response, error) {
	n, err := strconv.Atoi(args[0])
	if err != nil {
		return nil, err
	}
	body := ""
	header := http.Header{"Authorization": {"Bearer key-of-" + args[1]}}
	for _, arg := range args[4:] {
		name, value, ok := strings.Cut(arg, "=")
		if ok && !strings.HasPrefix(arg, "{") {
			header.Set(name, value)
			continue
		}
		body = arg
	}
	r, err := http.NewRequest(args[2], f.callersURL(n)+args[3], strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header = header
	return http.DefaultClient.Do(r)
}

// volatile matches the parts of a response that differ from run to run.
var volatile = regexp.MustCompile(`[0-9a-f]{24}|127\.\d+\.\d+\.\d+(:\d+)?`)

// renderResponse formats a response as in the golden files: status, selected
// headers and body, with the volatile parts replaced.
func renderResponse(response *http.Response) (string, error) {
	defer response.Body.Close()
	var out bytes.Buffer
	fmt.Fprintf(&out, "%d\n", response.StatusCode)
	var names []string
	for name := range response.Header {
		if strings.HasPrefix(name, "Oleanderramp-") || name == "Retry-After" || name == "Content-Type" {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(&out, "%s: %s\n", name, response.Header.Get(name))
	}
	body := new(bytes.Buffer)
	if _, err := body.ReadFrom(response.Body); err != nil {
		return "", fmt.Errorf("read response body: %w", err)
	}
	out.Write(bytes.TrimRight(body.Bytes(), "\n"))
	out.WriteString("\n")
	return volatile.ReplaceAllString(out.String(), "VOLATILE"), nil
}
