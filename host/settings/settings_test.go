package settings_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/host/settings"
)

func options(address *string, wait *time.Duration) []settings.Option {
	return []settings.Option{
		{Section: "listen", Name: "link", Required: true, Allowed: "an IP address and port", Set: settings.Address(address)},
		{Section: "stop", Name: "wait", Default: "1s", Allowed: "0s to 1m", Set: settings.Duration(wait, 0, time.Minute)},
	}
}

// TestBadSettings checks that errors name what is wrong and what is allowed.
func TestBadSettings(t *testing.T) {
	rows := []struct{ name, text, want string }{
		{"unknown section", "[listne]\nlink = 127.0.0.1:1\n", "known are listen, stop"},
		{"unknown option", "[listen]\nlinks = 127.0.0.1:1\n", "known are link"},
		{"option outside of sections", "link = 127.0.0.1:1\n", "unknown section"},
		{"missing", "[stop]\nwait = 1s\n", "is required"},
		{"host name in place of an IP address", "[listen]\nlink = localhost:1\n", `[listen] link = "localhost:1": an IP address and port`},
		{"duration out of bounds", "[listen]\nlink = 127.0.0.1:1\n[stop]\nwait = 2m\n", `wait = "2m": 0s to 1m`},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			var address string
			var wait time.Duration
			err := settings.Parse("test.ini", []byte(row.text), options(&address, &wait))
			var typed *settings.Error
			assert.Assert(t, errors.As(err, &typed), "got %v", err)
			assert.Assert(t, strings.HasPrefix(err.Error(), "test.ini: "), err)
			assert.ErrorContains(t, err, row.want)
		})
	}
}

func TestDefaults(t *testing.T) {
	var address string
	var wait time.Duration
	assert.NilError(t, settings.Parse("test.ini", []byte("[listen]\nlink = 127.0.0.1:1\n"), options(&address, &wait)))
	assert.Equal(t, wait, time.Second)
}

// FuzzParse checks that no input makes the parser panic, and that each error is an Error
// or a FileError.
func FuzzParse(f *testing.F) {
	f.Add("[listen]\nlink = 127.0.0.1:1\n")
	f.Add("[")
	f.Fuzz(func(t *testing.T, text string) {
		var address string
		var wait time.Duration
		err := settings.Parse("test.ini", []byte(text), options(&address, &wait))
		var option *settings.Error
		var file *settings.FileError
		if err != nil && !errors.As(err, &option) && !errors.As(err, &file) {
			t.Fatalf("unexpected type of error: %v", err)
		}
	})
}
