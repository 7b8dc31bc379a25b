package backendlink

import (
	"bytes"
	"cmp"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
)

// net/url decodes a path and encodes it anew if it holds a byte that it would have encoded itself, and
// an encoded slash becomes a real one. So the target of a request is taken and written as it was sent.

// RequestTarget returns the target of a request to a server in origin form, as it was sent: the path
// and the query. It is "*" for a request to the server as a whole.
func RequestTarget(request *http.Request) string {
	sent := request.RequestURI
	if sent == "" { // not received from a connection
		return request.URL.RequestURI()
	}
	_, afterScheme, absolute := strings.Cut(sent, "://")
	if strings.HasPrefix(sent, "/") || !absolute || request.URL.Host == "" {
		return sent
	}
	start := strings.IndexAny(afterScheme, "/?")
	switch {
	case start < 0:
		return "/"
	case afterScheme[start] == '?':
		return "/" + afterScheme[start:]
	}
	return afterScheme[start:]
}

// TargetPath returns the path of a target in origin form.
func TargetPath(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}

// errInvalidTarget reports a target that would not end where the request line says.
var errInvalidTarget = errors.New("target of the request holds a space or a control byte")

// writeRequest writes a request. The target is the RequestURI as it is, unless that is empty.
func writeRequest(to io.Writer, request *http.Request) error {
	if request.RequestURI == "" {
		return request.Write(to)
	}
	if strings.ContainsFunc(request.RequestURI, func(char rune) bool { return char <= ' ' || char == 0x7f }) {
		return errInvalidTarget
	}
	withoutTarget := request.WithContext(request.Context())
	withoutTarget.URL = &url.URL{Path: "/"}
	method := cmp.Or(request.Method, http.MethodGet)
	return withoutTarget.Write(&targetWriter{to: to, placeholder: []byte(method + " / "), line: []byte(method + " " + request.RequestURI + " ")})
}

// targetWriter replaces the beginning of what is written.
type targetWriter struct {
	to                io.Writer
	placeholder, line []byte
	replaced          bool
}

// Write implements io.Writer. net/http writes a request line at once.
func (w *targetWriter) Write(data []byte) (int, error) {
	if w.replaced {
		return w.to.Write(data)
	}
	rest, ok := bytes.CutPrefix(data, w.placeholder)
	if !ok {
		return 0, errInvalidTarget
	}
	w.replaced = true
	if _, err := w.to.Write(append(w.line, rest...)); err != nil {
		return 0, err
	}
	return len(data), nil
}
