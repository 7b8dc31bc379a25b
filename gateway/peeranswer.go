package gateway

import (
	"compress/gzip"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
)

// minCompressedSize is the minimum size of a response to a host that is compressed, in bytes.
// Lists and long documents are repetitive: an entry of 250 B shrinks to about 30 B.
const minCompressedSize = 4 << 10

// gzipWriters are reused, since each holds hundreds of kilobytes.
var gzipWriters = sync.Pool{New: func() any {
	writer, err := gzip.NewWriterLevel(nil, gzip.BestSpeed)
	if err != nil {
		panic(err) // can't happen: the level is a valid constant
	}
	return writer
}}

// writePeerResponse sends the response to another host.
func (g *Gateway) writePeerResponse(w http.ResponseWriter, r *http.Request, answer any) {
	body, err := json.Marshal(answer)
	if err != nil {
		g.log.Error("encoding a response to another host failed", "path", r.URL.Path, "error", err.Error())
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if len(body) >= minCompressedSize && strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		err = writeCompressed(w, body)
	} else {
		_, err = w.Write(body)
	}
	if err != nil {
		g.log.Info("writing a response to another host failed", "path", r.URL.Path, "error", err.Error())
	}
}

func writeCompressed(w http.ResponseWriter, body []byte) error {
	w.Header().Set("Content-Encoding", "gzip")
	compressor := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(compressor)
	compressor.Reset(w)
	if _, err := compressor.Write(body); err != nil {
		return err
	}
	return compressor.Close()
}
