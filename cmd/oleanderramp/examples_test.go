package main

import (
	"bytes"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

// exampleFileCount is the number of settings and bundle files in examples/.
const exampleFileCount = 3*7 + 2

func TestExamplesAreValid(t *testing.T) {
	c := qt.New(t)
	settings, err := filepath.Glob("../../examples/*/settings/*.json")
	c.Assert(err, qt.IsNil)
	bundles, err := filepath.Glob("../../examples/*/bundle.json")
	c.Assert(err, qt.IsNil)
	files := append(settings, bundles...)
	c.Assert(files, qt.HasLen, exampleFileCount)

	var stdout, stderr bytes.Buffer
	code := run(append([]string{"oleanderramp", "check"}, files...), &stdout, &stderr)
	c.Check(code, qt.Equals, exitOK, qt.Commentf("%s%s", &stdout, &stderr))
}
