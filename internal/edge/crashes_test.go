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

func (c *crashes) of(now time.Time, name string) quarantine.Verdict {
	return c.verdict(now, func() quarantine.Digest { return digest(name) })
}

func entry(id string, born float64) directory.Entry {
	return directory.Entry{ID: id, Address: id + ":1", Started: at(born)}
}

func TestSecondCrashQuarantines(t *testing.T) {
	c := qt.New(t)
	one, two := newTestCrashes(), newTestCrashes()
	one.broke(at(1), entry("a", 0), digest("poison"))
	one.broke(at(1), entry("a", 0), digest("companion"))
	c.Check(one.of(at(1), "poison").Status, qt.Equals, quarantine.Clear)
	one.unreachable(at(1.1), "a")
	c.Check(one.of(at(1.1), "poison").Status, qt.Equals, quarantine.Suspect)
	one.answered(at(2), func() quarantine.Digest { return digest("companion") })

	// At another router it crashes the second endpoint, which shows by its
	// new start.
	two.adopt(at(1.2), one.recent(at(1.2)))
	two.broke(at(4), entry("b", 0), digest("poison"))
	two.broke(at(4), entry("b", 0), digest("other"))
	two.update(at(5), []directory.Entry{entry("a", 2), entry("b", 4.5)})
	verdict := two.of(at(5), "poison")
	c.Check(verdict.Status, qt.Equals, quarantine.Quarantined)
	c.Check(verdict.RetryAfter, qt.Equals, quarantineTime)
	c.Check(two.of(at(5), "other").Status, qt.Equals, quarantine.Suspect)

	one.adopt(at(5.1), two.recent(at(5.1)))
	c.Check(one.of(at(5.1), "poison").Status, qt.Equals, quarantine.Quarantined)
	c.Check(one.of(at(5.1), "companion").Status, qt.Equals, quarantine.Clear)
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
	c.Check(x.of(at(13), "d").Status, qt.Equals, quarantine.Clear)
}

// TestCrashesAtOnceAreOne checks that a request which ran on several endpoints
// that crash together is a suspect, and no more.
func TestCrashesAtOnceAreOne(t *testing.T) {
	c := qt.New(t)
	x, other := newTestCrashes(), newTestCrashes()
	for _, id := range []string{"a", "b", "c"} {
		x.broke(at(1), entry(id, 0), digest("d"))
	}
	for i, id := range []string{"a", "b", "c"} {
		x.unreachable(at(1.1+float64(i)/10), id)
	}
	c.Check(x.of(at(2), "d").Status, qt.Equals, quarantine.Suspect)
	other.broke(at(1), entry("e", 0), digest("d"))
	other.adopt(at(1.5), x.recent(at(1.5)))
	other.unreachable(at(1.6), "e")
	c.Check(other.of(at(2), "d").Status, qt.Equals, quarantine.Suspect)
}
