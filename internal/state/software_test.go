package state_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"oleanderramp/internal/state"
	"oleanderramp/internal/wire"
)

func record(service, software string) *wire.Command {
	return &wire.Command{Body: &wire.Command_RecordSoftware{RecordSoftware: &wire.RecordSoftware{Service: service, Software: software}}}
}

func forget(service, software string, revision uint64) *wire.Command {
	return &wire.Command{Body: &wire.Command_ForgetSoftware{ForgetSoftware: &wire.ForgetSoftware{Service: service, Software: software, Revision: revision}}}
}

// TestSoftwareRecords guards against a version that is forgotten although an endpoint with
// it has come meanwhile, and against records that don't survive a snapshot.
func TestSoftwareRecords(t *testing.T) {
	tests := []struct {
		name     string
		commands []*wire.Command
		codes    []string
		want     []string
	}{
		{"recorded", []*wire.Command{record("s", "v1"), record("s", "v2"), record("r", "")}, []string{"", "", ""}, []string{"r/", "s/v1", "s/v2"}},
		{"forgotten", []*wire.Command{record("s", "v1"), record("s", "v2"), forget("s", "v1", 1)}, []string{"", "", ""}, []string{"s/v2"}},
		{"recorded again before it is forgotten", []*wire.Command{record("s", "v1"), record("s", "v1"), forget("s", "v1", 1)}, []string{"", "", state.CodeSoftwareConflict}, []string{"s/v1"}},
		{"forgotten twice", []*wire.Command{record("s", "v1"), forget("s", "v1", 1), forget("s", "v1", 1)}, []string{"", "", ""}, nil},
		{"no service", []*wire.Command{record("", "v1")}, []string{state.CodeBadCommand}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			m := state.New(state.Limits{})
			for i, command := range test.commands {
				result := &wire.Result{}
				c.Assert(proto.Unmarshal(m.Apply(uint64(i+1), encodeCommand(command)), result), qt.IsNil)
				c.Check(result.GetError().GetCode(), qt.Equals, test.codes[i], qt.Commentf("command %d", i))
			}
			restored := state.New(state.Limits{})
			c.Assert(restored.Restore(snapshot(t, m)), qt.IsNil)
			c.Check(proto.Equal(restored.Software(), m.Software()), qt.IsTrue)
			var got []string
			for _, v := range restored.Software().GetVersions() {
				got = append(got, v.GetService()+"/"+v.GetSoftware())
			}
			c.Check(got, qt.DeepEquals, test.want)
		})
	}
}
