package routing

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

func configuration(version uint64) *Configuration {
	return &Configuration{Version: version,
		Services: map[string]Service{"s": {Name: "s"}, "other": {Name: "other"}},
		Hosts: map[string][]Route{"h": {
			{Name: "short", Prefix: "/a/", Targets: []Target{{Service: "s", Weight: 1}}},
			{Name: "long", Prefix: "/a/b/", Targets: []Target{{Service: "s", Weight: 9}, {Service: "other", Weight: 1}}},
		}}}
}

func TestLongestPrefixWins(t *testing.T) {
	c := configuration(1)
	assert.Equal(t, c.Match("h", "/a/b/c").Name, "long")
	assert.Equal(t, c.Match("h", "/a/bc").Name, "short")
	assert.Assert(t, c.Match("h", "/b/") == nil)
	assert.Assert(t, c.Match("other", "/a/") == nil)
}

func TestPickFollowsWeights(t *testing.T) {
	route := &configuration(1).Hosts["h"][1]
	const picks = 20000
	others := 0
	for range picks {
		if route.PickService() == "other" {
			others++
		}
	}
	// Ten standard deviations of the expected 2000 picks out of 20000 are 424.
	assert.Assert(t, others > 1500 && others < 2500, "%d of %d picks went to a service with a tenth of the weight", others, picks)
}

func TestOlderVersionIsIgnored(t *testing.T) {
	var inForce ActiveConfiguration
	assert.Assert(t, inForce.Current() == nil)
	assert.Assert(t, inForce.Update(configuration(4)))
	assert.Assert(t, !inForce.Update(configuration(4)))
	assert.Assert(t, !inForce.Update(configuration(3)))
	assert.Equal(t, inForce.Current().Version, uint64(4))
}

func TestValidateNamesInvalidField(t *testing.T) {
	for name, invalidate := range map[string]func(*Route){
		"prefix": func(r *Route) { r.Prefix = "/a" }, "targets": func(r *Route) { r.Targets = nil },
		"service": func(r *Route) { r.Targets = []Target{{Service: "none", Weight: 1}} },
		"weight":  func(r *Route) { r.Targets = []Target{{Service: "s"}} },
	} {
		t.Run(name, func(t *testing.T) {
			c := configuration(1)
			invalidate(&c.Hosts["h"][0])
			var invalid *InvalidError
			assert.Assert(t, errors.As(c.Check(), &invalid))
			assert.Equal(t, invalid.Field, "route h short "+name)
		})
	}
	assert.NilError(t, configuration(1).Check())
}
