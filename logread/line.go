// Package logread reads the JSON lines of any number of hosts in one pass: what
// became of requests over time and why, who controlled which keys, and the story of
// one request with what each host believed then. It holds sums, not lines, so its
// memory does not follow the size of the logs.
package logread

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"time"

	"github.com/rotisserie/eris"
)

// mostLine bounds a line, in bytes; a longer one is counted and passed over. Lines
// of hosts are some hundreds of bytes.
const mostLine = 1 << 20

// Line is one line of a host's log, as far as it is read here.
type Line struct {
	Time    time.Time `json:"time"`
	Message string    `json:"msg"`
	Host    string    `json:"host"`
	Service string    `json:"service"`

	// Of lines that tell of a request.
	Request         string   `json:"request"`
	Outcome         string   `json:"outcome"`
	Status          int      `json:"status"`
	Servers         []string `json:"servers"`
	Key             *int     `json:"key"`
	AssignmentAgeMs *int64   `json:"assignment-age-ms"`

	// Raw is the line as it was written.
	Raw string `json:"-"`
}

// Messages of lines that are told apart.
const (
	messageRequest = "request"
	messageControl = "in control"
	messageGaveUp  = "control given up"
)

// Progress is told how far a pass has come.
type Progress func(lines, bytes int64)

// progressEvery is after how many lines progress is told.
const progressEvery = 250_000

// Scan calls visit with each line. It returns how many lines could not be read: cut
// off at the end of a process, or no JSON object. What stands before a line's first
// brace, such as the name of its host, is passed over.
func Scan(in io.Reader, visit func(Line), progress Progress) (unreadable int64, err error) {
	reader := bufio.NewReaderSize(in, mostLine)
	var lines, size int64
	for {
		text, err := reader.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			unreadable++
			err = skipLine(reader)
			text = nil
		}
		if len(text) > 0 {
			lines, size = lines+1, size+int64(len(text))
			if !visitLine(text, visit) {
				unreadable++
			}
			if progress != nil && lines%progressEvery == 0 {
				progress(lines, size)
			}
		}
		if errors.Is(err, io.EOF) {
			return unreadable, nil
		}
		if err != nil {
			return unreadable, eris.Wrapf(err, "reading logs after %d lines", lines)
		}
	}
}

// skipLine reads up to the end of a line.
func skipLine(reader *bufio.Reader) error {
	for {
		_, err := reader.ReadSlice('\n')
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

func visitLine(text []byte, visit func(Line)) bool {
	text = bytes.TrimSpace(text)
	if len(text) == 0 {
		return true
	}
	at := bytes.IndexByte(text, '{')
	if at < 0 {
		return false
	}
	var line Line
	if json.Unmarshal(text[at:], &line) != nil {
		return false
	}
	line.Raw = string(text[at:])
	visit(line)
	return true
}
