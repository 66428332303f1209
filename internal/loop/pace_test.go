package loop

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against delays in an idle sender and against a busy one that runs a turn for each event.
func TestPace(t *testing.T) {
	var b strings.Builder
	p := pacer{maxSpacing: 2500 * time.Microsecond, cores: 0.5}
	now, used := time.Unix(0, 0), time.Duration(0)
	run := func(load string, share float64, samples int) {
		for range samples {
			now, used = now.Add(sampleInterval), used+time.Duration(share*float64(sampleInterval))
			if p.sampleDue(now) {
				p.sample(now, used)
			}
		}
		fmt.Fprintf(&b, "%s: share %.2f, spacing %v\n", load, p.smoothedShare, p.spacing().Round(10*time.Microsecond))
	}
	run("idle", 0.02, 20)
	run("a tenth of a core", 0.1, 20)
	run("a fifth", 0.2, 20)
	run("all that is granted", 0.5, 20)
	now, used = now.Add(2*time.Second), used+time.Millisecond
	p.sample(now, used)
	fmt.Fprintf(&b, "after two quiet seconds: spacing %v\n", p.spacing())
	p.sample(now.Add(-time.Hour), used)
	fmt.Fprintf(&b, "the clock stepped back: spacing %v\n", p.spacing())
	want := `idle: share 0.04, spacing 0s
a tenth of a core: share 0.20, spacing 0s
a fifth: share 0.40, spacing 1.25ms
all that is granted: share 1.00, spacing 2.5ms
after two quiet seconds: spacing 0s
the clock stepped back: spacing 0s
`
	if diff := cmp.Diff(want, b.String()); diff != "" {
		t.Errorf("share and spacing, -want +got:\n%s", diff)
	}
}
