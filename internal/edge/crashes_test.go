package edge

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/directory"
	"oleanderramp/internal/quarantine"
)

var start = time.Unix(1_000_000, 0)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func newTestCrashes() *crashes {
	return newCrashes(&log.Logger{Handler: discard.New(), Level: log.FatalLevel})
}

func digest(name string) quarantine.Digest { return quarantine.NewDigest("", "POST", name, nil) }

func entry(id string, born float64) directory.Entry {
	return directory.Entry{ID: id, Address: id + ":1", Born: at(born)}
}

func TestSecondCrashQuarantines(t *testing.T) {
	c := qt.New(t)
	one, two := newTestCrashes(), newTestCrashes()
	one.broke(at(1), entry("a", 0), digest("poison"))
	one.broke(at(1), entry("a", 0), digest("companion"))
	c.Check(one.verdict(at(1), digest("poison")).Status, qt.Equals, quarantine.Clear)
	one.unreachable(at(1.1), "a")
	c.Check(one.verdict(at(1.1), digest("poison")).Status, qt.Equals, quarantine.Suspect)
	one.answered(at(2), digest("companion"))

	// At another router it crashes the second endpoint, which shows by its
	// new start.
	two.adopt(at(1.2), one.recent(at(1.2)))
	two.broke(at(3), entry("b", 0), digest("poison"))
	two.broke(at(3), entry("b", 0), digest("other"))
	two.update(at(5), []directory.Entry{entry("a", 2), entry("b", 4)})
	verdict := two.verdict(at(5), digest("poison"))
	c.Check(verdict.Status, qt.Equals, quarantine.Quarantined)
	c.Check(verdict.RetryAfter, qt.Equals, quarantineTime)
	c.Check(two.verdict(at(5), digest("other")).Status, qt.Equals, quarantine.Suspect)

	one.adopt(at(5.1), two.recent(at(5.1)))
	c.Check(one.verdict(at(5.1), digest("poison")).Status, qt.Equals, quarantine.Quarantined)
	c.Check(one.verdict(at(5.1), digest("companion")).Status, qt.Equals, quarantine.Clear)
	c.Check(two.recent(at(9)), qt.HasLen, 0)
}

// TestLostAnswerIsNoCrash checks that a connection that breaks while the
// endpoint lives on makes nobody a suspect.
func TestLostAnswerIsNoCrash(t *testing.T) {
	c := qt.New(t)
	x := newTestCrashes()
	x.broke(at(1), entry("a", 0), digest("d"))
	x.update(at(2), []directory.Entry{entry("a", 0)})
	x.update(at(12), []directory.Entry{entry("a", 0)})
	x.unreachable(at(13), "a")
	c.Check(x.verdict(at(13), digest("d")).Status, qt.Equals, quarantine.Clear)
}
