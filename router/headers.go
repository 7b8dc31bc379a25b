package router

import (
	"bytes"
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"cicadarouter/contract/backend"
	"cicadarouter/dispatch"
)

// hopByHopHeaders are the hop-by-hop headers and those that net/http sets itself; they
// are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host",
}

// systemHeaderPrefix is the prefix of this system's own headers.
const systemHeaderPrefix = "Cicada-"

// callerHeaders returns the headers of a caller's request to forward to the server.
func callerHeaders(header http.Header) []dispatch.Header { return endToEndHeaders(header) }

// answerHeaders returns the headers of a server's answer to forward to the caller.
func answerHeaders(header http.Header) []dispatch.Header { return endToEndHeaders(header) }

func endToEndHeaders(header http.Header) []dispatch.Header {
	connection := strings.Split(header.Get("Connection"), ",")
	out := make([]dispatch.Header, 0, len(header))
	for name, values := range header {
		if strings.HasPrefix(name, systemHeaderPrefix) || slices.Contains(hopByHopHeaders, name) || listsHeader(connection, name) {
			continue
		}
		for _, value := range values {
			out = append(out, dispatch.Header{Name: name, Value: value})
		}
	}
	return out
}

// listsHeader reports whether the Connection header declares the name as hop-by-hop.
func listsHeader(connection []string, name string) bool {
	return slices.ContainsFunc(connection, func(token string) bool {
		return strings.EqualFold(strings.TrimSpace(token), name)
	})
}

// serverRequest builds the request to send to the backend server.
func serverRequest(ctx context.Context, req *request, chosen target, address string) (*http.Request, error) {
	out, err := http.NewRequestWithContext(ctx, req.method, "http://"+address, bytes.NewReader(req.body))
	if err != nil {
		return nil, err
	}
	out.RequestURI = req.path
	for _, header := range req.headers {
		out.Header.Add(header.Name, header.Value)
	}
	out.Header.Set(backend.HeaderRequestID, req.meta.ID.String())
	out.Header.Set(backend.HeaderDeadlineMs, strconv.FormatInt(remaining(ctx).Milliseconds(), 10))
	if req.service.Keyed {
		out.Header.Set(backend.HeaderKey, req.meta.Key)
		out.Header.Set(backend.HeaderPage, req.page)
		out.Header.Set(backend.HeaderToken, strconv.FormatUint(chosen.token, 10))
	}
	return out, nil
}
