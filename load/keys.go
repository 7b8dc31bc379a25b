package load

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// keyChooser draws keys from a stream's key distribution.
type keyChooser struct {
	stream Stream
	random *rand.Rand
	zipf   *rand.Zipf
}

func newKeyChooser(stream Stream, random *rand.Rand) *keyChooser {
	chooser := &keyChooser{stream: stream, random: random}
	if stream.Zipf > 1 {
		chooser.zipf = rand.NewZipf(random, stream.Zipf, 1, uint64(stream.Keys-1))
	}
	return chooser
}

func (c *keyChooser) choose(at time.Duration) string {
	if !c.stream.Keyed {
		return ""
	}
	if c.stream.HotShare > 0 && c.random.Float64() < c.stream.HotShare {
		return fmt.Sprintf("hot-%d", at/c.stream.HotEvery)
	}
	if c.zipf != nil {
		return fmt.Sprintf("key-%d", c.zipf.Uint64())
	}
	return fmt.Sprintf("key-%d", c.random.IntN(c.stream.Keys))
}
