package backendlink

import (
	"bytes"
	"errors"
	"net/http"
	"net/url"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestRequestTarget(t *testing.T) {
	for sent, want := range map[string]string{
		"/a%2Fb|c?d|e":      "/a%2Fb|c?d|e",
		"//a|b":             "//a|b",
		"/":                 "/",
		"/a?":               "/a?",
		"/a?b=http://c/d":   "/a?b=http://c/d",
		"http://h/a%2Fb|c":  "/a%2Fb|c",
		"http://h":          "/",
		"http://h?a|b":      "/?a|b",
		"http://h//a?b://c": "//a?b://c",
		"*":                 "*",
	} {
		parsed, err := url.ParseRequestURI(sent)
		assert.NilError(t, err)
		assert.Equal(t, RequestTarget(&http.Request{RequestURI: sent, URL: parsed}), want)
	}
	assert.Equal(t, RequestTarget(&http.Request{URL: &url.URL{Path: "/a b", RawQuery: "c"}}), "/a%20b?c")
	assert.Equal(t, TargetPath("/a|b?c?d"), "/a|b")
}

// Guards against a target that ends the request line early, so that the rest is taken for a header or
// another request.
func TestInvalidTargetIsNotWritten(t *testing.T) {
	for _, target := range []string{"/a b", "/a\r\nX: y", "/a\x00", "/a\x7f", "/a\t"} {
		var written bytes.Buffer
		err := writeRequest(&written, &http.Request{Method: http.MethodGet, URL: &url.URL{}, Host: "h", RequestURI: target})
		assert.Assert(t, errors.Is(err, errInvalidTarget))
		assert.Equal(t, written.Len(), 0)
	}
	var written bytes.Buffer
	long := "/" + strings.Repeat("|", 10000)
	assert.NilError(t, writeRequest(&written, &http.Request{URL: &url.URL{}, Host: "h", RequestURI: long}))
	assert.Assert(t, strings.HasPrefix(written.String(), "GET "+long+" HTTP/1.1\r\nHost: h\r\n"))
}
