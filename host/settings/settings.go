// Package settings reads a daemon's INI file and checks it against the options
// that the daemon knows. Unknown sections, unknown options and bad values are
// errors, so that a misspelt option is noticed at start.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Error names what is wrong with one option, and what is allowed.
type Error struct {
	File    string
	Section string
	Option  string
	Value   string
	Allowed string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: [%s] %s = %q: %s", e.File, e.Section, e.Option, e.Value, e.Allowed)
}

// FileError reports a file that cannot be read as INI.
type FileError struct {
	File  string
	Cause error
}

// Error implements error.
func (e *FileError) Error() string { return e.File + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// Option is one option of a settings file.
type Option struct {
	Section string
	Name    string
	// Default is used when the file does not give the option. Required options have none.
	Default  string
	Required bool
	// Allowed tells an operator which values are allowed.
	Allowed string
	// Set checks and stores the value.
	Set func(value string) bool
}

// Text stores any non-empty text.
func Text(target *string) func(string) bool {
	return func(value string) bool {
		*target = strings.TrimSpace(value)
		return *target != ""
	}
}

// Optional stores any text.
func Optional(target *string) func(string) bool {
	return func(value string) bool {
		*target = strings.TrimSpace(value)
		return true
	}
}

// Address stores an IP number and port.
func Address(target *string) func(string) bool {
	return func(value string) bool {
		*target = value
		_, err := netip.ParseAddrPort(value)
		return err == nil
	}
}

// Addresses stores a list of IP numbers and ports, separated by commas.
func Addresses(target *[]string) func(string) bool {
	return func(value string) bool {
		*target = nil
		for part := range strings.SplitSeq(value, ",") {
			part = strings.TrimSpace(part)
			if part == "" {
				continue
			}
			if _, err := netip.ParseAddrPort(part); err != nil {
				return false
			}
			*target = append(*target, part)
		}
		return true
	}
}

// Duration stores a duration between the limits.
func Duration(target *time.Duration, least, most time.Duration) func(string) bool {
	return func(value string) bool {
		parsed, err := time.ParseDuration(value)
		*target = parsed
		return err == nil && parsed >= least && parsed <= most
	}
}

// Int stores a whole number between the limits.
func Int(target *int, least, most int) func(string) bool {
	return func(value string) bool {
		parsed, err := strconv.Atoi(value)
		*target = parsed
		return err == nil && parsed >= least && parsed <= most
	}
}

// Float stores a number between the limits.
func Float(target *float64, least, most float64) func(string) bool {
	return func(value string) bool {
		parsed, err := strconv.ParseFloat(value, 64)
		*target = parsed
		return err == nil && parsed >= least && parsed <= most
	}
}

// Bool stores true or false.
func Bool(target *bool) func(string) bool {
	return func(value string) bool {
		*target = value == "true"
		return value == "true" || value == "false"
	}
}

// Choice stores one of the words.
func Choice(target *string, words ...string) func(string) bool {
	return func(value string) bool {
		*target = value
		return slices.Contains(words, value)
	}
}

// Load reads the file and sets every option. It returns the first error found.
func Load(file string, options []Option) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return &FileError{File: file, Cause: err}
	}
	return Parse(file, data, options)
}

// Parse is Load on data already read; file is used in errors.
func Parse(file string, data []byte, options []Option) error {
	loaded, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, data)
	if err != nil {
		return &FileError{File: file, Cause: err}
	}
	if err := checkKnown(file, loaded, options); err != nil {
		return err
	}
	for _, option := range options {
		if err := setOption(file, loaded, option); err != nil {
			return err
		}
	}
	return nil
}

func setOption(file string, loaded *ini.File, option Option) error {
	section := loaded.Section(option.Section)
	value := option.Default
	given := section.HasKey(option.Name)
	if given {
		value = section.Key(option.Name).String()
	}
	if !given && option.Required {
		return &Error{File: file, Section: option.Section, Option: option.Name, Allowed: "is required: " + option.Allowed}
	}
	if !option.Set(value) {
		return &Error{File: file, Section: option.Section, Option: option.Name, Value: value, Allowed: option.Allowed}
	}
	return nil
}

func checkKnown(file string, loaded *ini.File, options []Option) error {
	for _, section := range loaded.Sections() {
		names := namesIn(section.Name(), options)
		if len(names) == 0 && (section.Name() != ini.DefaultSection || len(section.Keys()) > 0) {
			return &Error{File: file, Section: section.Name(), Allowed: "no such section; known are " + strings.Join(sections(options), ", ")}
		}
		for _, key := range section.Keys() {
			if !slices.Contains(names, key.Name()) {
				return &Error{File: file, Section: section.Name(), Option: key.Name(), Value: key.Value(),
					Allowed: "no such option; known are " + strings.Join(names, ", ")}
			}
		}
	}
	return nil
}

func namesIn(section string, options []Option) []string {
	var names []string
	for _, option := range options {
		if option.Section == section {
			names = append(names, option.Name)
		}
	}
	return names
}

func sections(options []Option) []string {
	var names []string
	for _, option := range options {
		if !slices.Contains(names, option.Section) {
			names = append(names, option.Section)
		}
	}
	return names
}
