// Package logread reads the JSON logs of any number of hosts in one pass. It either
// summarizes them (the outcomes of requests over time and the hosts that controlled each
// service) or collects the lines of one request together with the state that each host had
// logged before. The summary contains counts instead of lines, so that its memory depends
// on the time that the logs cover and not on their size.
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

// maxLineBytes is the maximum length of a line in bytes; longer ones are skipped and counted
// as unreadable. Hosts write lines of some hundreds of bytes.
const maxLineBytes = 1 << 20

// Line contains the fields of a log line that this package uses.
type Line struct {
	Time    time.Time `json:"time"`
	Message string    `json:"msg"`
	Host    string    `json:"host"`
	Service string    `json:"service"`

	// Fields of lines about a request.
	Request         string   `json:"request"`
	Outcome         string   `json:"outcome"`
	Status          int      `json:"status"`
	Servers         []string `json:"servers"`
	Key             *int     `json:"key"`
	AssignmentAgeMs *int64   `json:"assignment-age-ms"`

	// Raw is the text of the line, without anything before the JSON object.
	Raw string `json:"-"`
}

// Messages of the lines that the summary evaluates.
const (
	messageRequest        = "request"
	messageInControl      = "in control"
	messageControlGivenUp = "control given up"
)

// Progress is called with the numbers of lines and bytes read so far.
type Progress func(lines, bytes int64)

// progressEvery is the number of lines between two calls of Progress.
const progressEvery = 250_000

// Scan calls visit with each line. It returns the number of unreadable lines: those that
// are too long, cut off at the end of a process, or not a JSON object. Text before the
// first brace of a line, such as the name of its host, is ignored.
func Scan(in io.Reader, visit func(Line), progress Progress) (unreadable int64, err error) {
	reader := bufio.NewReaderSize(in, maxLineBytes)
	var lines, bytesRead int64
	for {
		text, err := reader.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			unreadable++
			err = skipLine(reader)
			text = nil
		}
		if len(text) > 0 {
			lines, bytesRead = lines+1, bytesRead+int64(len(text))
			if !visitLine(text, visit) {
				unreadable++
			}
			if progress != nil && lines%progressEvery == 0 {
				progress(lines, bytesRead)
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

// skipLine discards the rest of a line.
func skipLine(reader *bufio.Reader) error {
	for {
		_, err := reader.ReadSlice('\n')
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// visitLine decodes one line and calls visit with it. It returns false if the line isn't
// readable, and ignores empty ones.
func visitLine(text []byte, visit func(Line)) bool {
	text = bytes.TrimSpace(text)
	if len(text) == 0 {
		return true
	}
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return false
	}
	var line Line
	if json.Unmarshal(text[start:], &line) != nil {
		return false
	}
	line.Raw = string(text[start:])
	visit(line)
	return true
}
