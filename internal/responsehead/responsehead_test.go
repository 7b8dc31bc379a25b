package responsehead

import (
	"bufio"
	"bytes"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Lines of a head, by RFC 9112, sections 4 and 5, and RFC 9110, sections 5.1 and 5.5. A line may end with LF
// alone, and net/http skips blanks around the parts of the status line.
var (
	statusLine       = regexp.MustCompile("^HTTP/[0-9]\\.[0-9] +(10[023-9]|1[1-9][0-9]|[2-5][0-9][0-9])([ \t].*)?$")
	fieldLine        = regexp.MustCompile("^[!#$%&'*+\\-.^_`|~0-9A-Za-z]+:[\t \\x21-\\x7e\\x80-\\xff]*$")
	continuationLine = regexp.MustCompile("^[ \t]+[\t \\x21-\\x7e\\x80-\\xff]*$")
)

// isHead reports whether a text begins with a head.
func isHead(text string) bool {
	for n := 0; ; n++ {
		line, rest, ended := strings.Cut(text, "\n")
		line, text = strings.TrimSuffix(line, "\r"), rest
		switch {
		case !ended:
			return false
		case n == 0 && !statusLine.MatchString(line):
			return false
		case n > 0 && line == "":
			return true
		case n > 0 && !matchesBytes(fieldLine, line) && (n == 1 || !matchesBytes(continuationLine, line)):
			return false
		}
	}
}

// matchesBytes matches each byte of a line as the character with its number.
func matchesBytes(pattern *regexp.Regexp, line string) bool {
	chars := make([]rune, len(line))
	for i := range len(line) {
		chars[i] = rune(line[i])
	}
	return pattern.MatchString(string(chars))
}

// What is accepted as a head is one by the grammar, whatever net/http accepts.
func FuzzCheck(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n", "HTTP/1.1 000 OK\r\n\r\n", "HTTP/1.1 101 OK\r\n\r\n", "HTTP/1.0 +20 \n\n", "HTTP/1.1 200\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA B: c\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\nabc", "HTTP/1.1 200 OK\r\nX: a\r\n b\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX: \x00\r\n\r\n", "HTTP/1.1 200 OK\r\n\x01X: a\r\n\r\n", "HTTP/1.1 200 OK\r\n X: a\r\n\r\n", "HTTP/1.1 200 OK\r\n: a\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX: a\r\n\t: b\r\n\r\n", "HTTP/1.1 200 OK\r\nX:\xff\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(data)), nil)
		if err != nil || Check(response) != nil {
			return
		}
		assert.Assert(t, isHead(string(data)), "%q was accepted", data)
	})
}
