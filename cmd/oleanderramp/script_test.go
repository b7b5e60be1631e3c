package main

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http/httptest"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/rogpeppe/go-internal/testscript"

	"oleanderramp/internal/operator"
	"oleanderramp/internal/settings"
	"oleanderramp/pkg/bundle"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"oleanderramp": main})
}

// TestScripts runs the scripts in testdata. Each script has its own operators'
// API, with the real state machine and a fake fleet. NO_QUORUM is the URL of an
// API whose quorum has no leader.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
		Setup: func(env *testscript.Env) error {
			env.Setenv("OLEANDERRAMP_SERVER", startServer(env, newFakeQuorum()))
			env.Setenv("NO_QUORUM", startServer(env, &fakeQuorum{noLeader: true}))
			env.Setenv("OLEANDERRAMP_OPERATOR_KEY", "key-1")
			return nil
		},
	})
}

// startServer starts an operators' API on the quorum and returns its URL.
func startServer(env *testscript.Env, quorum *fakeQuorum) string {
	server := httptest.NewServer(operator.New(operator.Config{
		Operators: []settings.Operator{
			{Name: "operator-1", KeySHA256: hash("key-1")},
			{Name: "operator-2", KeySHA256: hash("key-2")},
		},
		Quorum:       quorum,
		Fleet:        fakeFleet{quorum: quorum},
		ParseBundle:  bundle.Parse,
		MaxBodyBytes: 1 << 20,
		Log:          &log.Logger{Handler: discard.Default, Level: log.ErrorLevel},
	}))
	env.Defer(server.Close)
	return server.URL
}

func hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
