package revision

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestRevisionsOrderEras(t *testing.T) {
	for _, pair := range [][2]uint64{{New(0, 54), New(0, 55)}, {New(0, 999), New(1, 1)}, {New(1, 55), New(2, 50)}, {New(0, 9), New(3, 0)}} {
		assert.Assert(t, pair[0] < pair[1], "%v", pair)
	}
	assert.Equal(t, New(0, 42), uint64(42))
	assert.Equal(t, Era(New(2, 55)), uint64(2))
	assert.Equal(t, Number(New(2, 55)), uint64(55))
}
