package gateway

import (
	"compress/gzip"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
)

// compressedAnswer is from how many bytes on an answer to a host is compressed. Lists and long
// documents repeat themselves: an entry of 250 B becomes some 30.
const compressedAnswer = 4 << 10

// compressors are kept for later answers: each holds hundreds of kilobytes.
var compressors = sync.Pool{New: func() any {
	writer, err := gzip.NewWriterLevel(nil, gzip.BestSpeed)
	if err != nil {
		panic(err) // the level is one of the package's
	}
	return writer
}}

// writePeer answers another host.
func (g *Gateway) writePeer(w http.ResponseWriter, r *http.Request, answer any) {
	body, err := json.Marshal(answer)
	if err != nil {
		g.log.Error("answer to a host not encoded", "path", r.URL.Path, "error", err.Error())
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if len(body) >= compressedAnswer && strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		err = writeCompressed(w, body)
	} else {
		_, err = w.Write(body)
	}
	if err != nil {
		g.log.Info("answer to a host not written", "path", r.URL.Path, "error", err.Error())
	}
}

func writeCompressed(w http.ResponseWriter, body []byte) error {
	w.Header().Set("Content-Encoding", "gzip")
	compressor := compressors.Get().(*gzip.Writer)
	defer compressors.Put(compressor)
	compressor.Reset(w)
	if _, err := compressor.Write(body); err != nil {
		return err
	}
	return compressor.Close()
}
