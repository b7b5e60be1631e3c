package main

import (
	"bufio"
	"bytes"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rogpeppe/go-internal/testscript"
)

// runAsProgramEnv is the environment variable that makes the test binary run
// as standin.
const runAsProgramEnv = "STANDIN_TEST_RUN"

func TestMain(m *testing.M) {
	if os.Getenv(runAsProgramEnv) != "" {
		main()
		os.Exit(0)
	}
	testscript.Main(m, map[string]func(){"standin": main})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:           "testdata",
		UpdateScripts: os.Getenv("UPDATE_GOLDEN") != "",
	})
}

// startProgram starts standin and returns the process and the address that it
// serves on.
func startProgram(t *testing.T, args ...string) (program *exec.Cmd, address string) {
	t.Helper()
	program = exec.CommandContext(t.Context(), os.Args[0], args...)
	program.Env = append(os.Environ(), runAsProgramEnv+"=1")
	output, err := program.StdoutPipe()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, program.Start(), qt.IsNil)
	line, err := bufio.NewReader(output).ReadString('\n')
	qt.Assert(t, err, qt.IsNil)
	return program, strings.TrimSpace(strings.TrimPrefix(line, "listening on "))
}

func TestSignalFinishesTheStreamInFlight(t *testing.T) {
	program, address := startProgram(t, "engine", "--endpoint", "e1", "--service", "s",
		"--leave-delay", "10ms", "--first-token", "1ms", "--token-interval", "2ms")
	body := strings.NewReader(`{"prompt":"a","max_tokens":100,"stream":true}`)
	response, err := http.Post("http://"+address+"/v1/completions", "application/json", body)
	qt.Assert(t, err, qt.IsNil)
	defer response.Body.Close()
	qt.Assert(t, program.Process.Signal(syscall.SIGTERM), qt.IsNil)
	var answer bytes.Buffer
	_, err = answer.ReadFrom(response.Body)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, strings.HasSuffix(answer.String(), "data: [DONE]\n\n"), qt.IsTrue)
	qt.Check(t, program.Wait(), qt.IsNil)
}

func TestSecondSignalAbortsRequests(t *testing.T) {
	program, address := startProgram(t, "orders", "--endpoint", "o1", "--service", "s",
		"--leave-delay", "1h", "--work", "1h")
	done := make(chan error, 1)
	go func() {
		_, err := http.Post("http://"+address+"/bookings", "application/json", strings.NewReader(`{"order":"a"}`))
		done <- err
	}()
	for running := false; !running; {
		response, err := http.Get("http://" + address + "/control/runs")
		qt.Assert(t, err, qt.IsNil)
		var runs bytes.Buffer
		_, err = runs.ReadFrom(response.Body)
		qt.Assert(t, err, qt.IsNil)
		response.Body.Close()
		running = strings.Contains(runs.String(), `"a":1`)
	}
	exited := make(chan error, 1)
	go func() { exited <- program.Wait() }()
	for ended := false; !ended; {
		_ = program.Process.Signal(syscall.SIGTERM)
		select {
		case err := <-exited:
			qt.Check(t, err, qt.ErrorMatches, "exit status 1")
			ended = true
		default:
		}
	}
	qt.Check(t, <-done, qt.IsNotNil)
}

func TestCrashEndsTheProcess(t *testing.T) {
	program, address := startProgram(t, "engine", "--endpoint", "e1", "--service", "s", "--crash-marker", "boom")
	_, err := http.Post("http://"+address+"/v1/completions", "application/json", strings.NewReader(`{"prompt":"boom"}`))
	qt.Check(t, err, qt.IsNotNil)
	qt.Check(t, program.Wait(), qt.ErrorMatches, "exit status 70")
}
