package backendlink

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// fieldCase is the head of an answer whose body, by its framing, is "first".
type fieldCase struct {
	name, fields string
	// chunked is set if the body comes in chunks.
	chunked bool
	// valid is set if the answer is one.
	valid bool
}

func fieldCases() []fieldCase {
	const length = "Content-Length: 5\r\n"
	cases := []fieldCase{
		{"all forms that are allowed", "X-Aa!#$%&'*+-.^_`|~09: a\tb \x80\xff\r\nX-Empty:\r\nX-Folded: a\r\n b\r\n" + length, false, true},
		{"blank before the colon of a length", "Content-Length : 5\r\n", false, false},
		{"blank before the colon of a second length", "Content-Length : 9\r\n" + length, false, false},
		{"blank before the colon of a transfer coding", "Transfer-Encoding : chunked\r\n", true, false},
		{"blank before the colon of a transfer coding and a length", "Transfer-Encoding : chunked\r\n" + length, false, false},
		{"blank before the colon of another field", "X-Other : a\r\n" + length, false, false},
		{"blank at the start of the first line", " X-Other: a\r\n" + length, false, false},
		{"blank and a name only", "X-Other: a\r\n" + length + "Some Name: a\r\n", false, false},
		{"no name", ": a\r\n" + length, false, false},
		{"blanks as name, which continue the line before", length + "X-Other: a\r\n\t : a\r\n", false, true},
		{"no colon", "X-Other\r\n" + length, false, false},
		{"two lengths", length + "Content-Length: 6\r\n", false, false},
		{"two equal lengths", length + length, false, true},
		{"a list of lengths", "Content-Length: 5, 6\r\n", false, false},
		{"a length with a sign", "Content-Length: +5\r\n", false, false},
		{"a negative length", "Content-Length: -5\r\n", false, false},
		{"a length in hexadecimal", "Content-Length: 0x5\r\n", false, false},
		{"an empty length", "Content-Length:\r\n", false, false},
		{"a length that is too large", "Content-Length: 99999999999999999999\r\n", false, false},
		{"a length that is continued", "Content-Length: 5\r\n 0\r\n", false, false},
		{"a length beside chunks, which doesn't count", "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n", true, true},
		{"two transfer codings", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", true, false},
		{"an unknown transfer coding", "Transfer-Encoding: gzip\r\n" + length, false, false},
		{"chunks that are not the last coding", "Transfer-Encoding: chunked, gzip\r\n", true, false},
		{"a transfer coding that is continued", "Transfer-Encoding: chunked\r\n x\r\n", true, false},
	}
	for b := range 0x100 {
		char := byte(b)
		if char >= '0' && char <= '9' || char >= 'a' && char <= 'z' || char >= 'A' && char <= 'Z' || char == ':' || char == '\n' {
			continue
		}
		token := false
		for _, allowed := range []byte("!#$%&'*+-.^_`|~") {
			token = token || char == allowed
		}
		cases = append(cases, fieldCase{fmt.Sprintf("byte %#x in a name", b), "X-A" + string([]byte{char}) + "b: a\r\n" + length, false, token})
		control := char < ' ' && char != '\t' || char == 0x7f
		cases = append(cases, fieldCase{fmt.Sprintf("byte %#x in a value", b), "X-Ab: a" + string([]byte{char}) + "b\r\n" + length, false, !control})
	}
	return cases
}

// checkFields plays all cases. answer returns the bytes of a case.
func checkFields(t *testing.T, answer func(fieldCase) string) {
	t.Helper()
	cases := fieldCases()
	pool := NewPool(serveText(t, func(path string) string {
		at, err := strconv.Atoi(path[1:])
		assert.Check(t, err)
		return answer(cases[at])
	}), 0, 1<<10)
	defer pool.Close()
	for at, test := range cases {
		_, body, err := fetchBothWays(t, pool, fmt.Sprintf("/%d", at))
		if test.valid {
			assert.Check(t, err == nil && body == "first", "%s: body %q, %v", test.name, body, err)
		} else {
			assert.Check(t, err != nil, "%s: body %q", test.name, body)
		}
	}
}

// Guards against answers whose head can't be relied on: fields whose names hold a blank, also before the
// colon of a length or a transfer coding, whose body then isn't the server's.
func TestFields(t *testing.T) {
	checkFields(t, func(test fieldCase) string {
		body := "first"
		if test.chunked {
			body = "5\r\nfirst\r\n0\r\n\r\n"
		}
		return "HTTP/1.1 200 OK\r\n" + test.fields + "\r\n" + body
	})
}

// The same in interim answers.
func TestFieldsOfInterimAnswers(t *testing.T) {
	checkFields(t, func(test fieldCase) string {
		return "HTTP/1.1 103 Early Hints\r\n" + test.fields + "\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"
	})
}

// Guards against the framing of chunks that is taken for a part of an HTTP/1.0 answer's body.
func TestTransferCodingOfHTTP10IsRefused(t *testing.T) {
	const first, old, chunks = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", "HTTP/1.0 200 OK\r\n", "5\r\nfirst\r\n0\r\n\r\n"
	large := "X-Large: " + strings.Repeat("a", 2*readBufferBytes) + "\r\n"
	for name, test := range map[string]struct {
		answer string
		valid  bool
	}{
		"a transfer coding":                            {old + "Transfer-Encoding: chunked\r\n\r\n" + chunks, false},
		"a transfer coding and a length":               {old + "transfer-encoding: chunked\r\nContent-Length: 5\r\n\r\nfirst", false},
		"a transfer coding behind a large field":       {old + large + "Transfer-Encoding: chunked\r\n\r\n" + chunks, false},
		"a transfer coding behind an interim answer":   {first + old + "Transfer-Encoding: chunked\r\n\r\n" + chunks, false},
		"no transfer coding":                           {old + "\r\nfirst", true},
		"no transfer coding, with a length":            {old + "Content-Length: 5\r\n\r\nfirst", true},
		"no transfer coding, with a large field":       {old + large + "\r\nfirst", true},
		"no transfer coding, behind an interim answer": {first + old + "\r\nfirst", true},
		"a transfer coding of HTTP/1.1":                {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks, true},
	} {
		t.Run(name, func(t *testing.T) {
			for _, atOnce := range []bool{true, false} {
				pool := NewPool(serveConns(t, func(conn net.Conn) {
					if atOnce {
						_, _ = io.WriteString(conn, test.answer)
						return
					}
					for i := range test.answer {
						_, _ = io.WriteString(conn, test.answer[i:i+1])
					}
				}), 0, 1<<10)
				_, body, err := fetchBothWays(t, pool, "/")
				assert.Check(t, (err == nil) == test.valid && (err != nil || body == "first"), "at once %t: body %q, %v", atOnce, body, err)
			}
		})
	}
}
