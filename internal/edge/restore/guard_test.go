package restore_test

// This file tests what answers of a restored store prove.

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthstile/jacinthstile/internal/edge/restore"
)

// TestJudge guards against serving a withdrawn key because a store that has forgotten
// its withdrawal answers, and against refusing keys for longer than the operators need
// to write again.
func TestJudge(t *testing.T) {
	const back = time.Hour
	for _, c := range []struct {
		name            string
		restored        bool
		told            time.Duration // when the era had begun already, as another instance says; zero for nothing
		at              time.Duration
		inForce, newest uint64
		want            restore.Verdict
	}{
		{"a store that lost nothing", false, 0, time.Second, 9, 9, restore.Proven},
		{"no other instance is known", false, 0, time.Second, 9, 0, restore.Proven},
		{"at its return", true, 0, back, 9, 9, restore.TooEarly},
		{"before the operators wrote again", true, 0, back + restore.RewriteTimeout - 1, 9, 9, restore.TooEarly},
		{"after they wrote again", true, 0, back + restore.RewriteTimeout, 9, 9, restore.Proven},
		{"another instance knows a newer version", true, 0, back + time.Minute, 9, 10, restore.VersionLost},
		{"a restarted instance, of which only others know more", false, 0, back, 9, 10, restore.VersionLost},
		{"another instance saw the return sooner", true, back - time.Second, back + restore.RewriteTimeout - time.Second, 9, 9, restore.Proven},
		{"before that instance's time is over", true, back - time.Second, back + restore.RewriteTimeout - time.Second - 1, 9, 9, restore.TooEarly},
		{"another instance saw the return later", true, back + time.Second, back + restore.RewriteTimeout, 9, 9, restore.Proven},
		{"another instance tells of a return that this one did not see", false, back, back, 9, 9, restore.Proven},
		{"the version was written again", true, 0, back + time.Minute, 10, 10, restore.Proven},
	} {
		t.Run(c.name, func(t *testing.T) {
			guard := restore.New()
			if c.restored {
				guard.Restored(back)
				guard.Restored(back - time.Second)
			}
			if c.told > 0 {
				guard.BeganBy(c.told)
			}
			NewWithT(t).Expect(guard.Judge(c.at, c.inForce, c.newest)).To(Equal(c.want))
		})
	}
}
