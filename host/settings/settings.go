// Package settings reads a program's INI file and checks it against a list of known
// options. Unknown sections, unknown options and invalid values are errors, so that a
// misspelt option is noticed at startup.
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

// Error reports an invalid option and describes the allowed values.
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

// FileError reports a file that can't be read or isn't a valid INI file.
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
	// Default is the value if the file doesn't contain the option. Required options
	// have no default.
	Default  string
	Required bool
	// Allowed describes the allowed values in error messages.
	Allowed string
	// Set stores the value and reports whether it is valid.
	Set func(value string) bool
}

// RequiredText returns a Set function that accepts any non-empty text.
func RequiredText(target *string) func(string) bool {
	return func(value string) bool {
		*target = strings.TrimSpace(value)
		return *target != ""
	}
}

// OptionalText returns a Set function that accepts any text.
func OptionalText(target *string) func(string) bool {
	return func(value string) bool {
		*target = strings.TrimSpace(value)
		return true
	}
}

// Address returns a Set function that accepts an IP address and port.
func Address(target *string) func(string) bool {
	return func(value string) bool {
		*target = value
		_, err := netip.ParseAddrPort(value)
		return err == nil
	}
}

// Addresses returns a Set function that accepts a list of IP addresses and ports,
// separated by commas. The list may be empty.
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

// Duration returns a Set function that accepts a duration within the limits.
func Duration(target *time.Duration, lowest, highest time.Duration) func(string) bool {
	return func(value string) bool {
		parsed, err := time.ParseDuration(value)
		*target = parsed
		return err == nil && parsed >= lowest && parsed <= highest
	}
}

// Int returns a Set function that accepts an integer within the limits.
func Int(target *int, lowest, highest int) func(string) bool {
	return func(value string) bool {
		parsed, err := strconv.Atoi(value)
		*target = parsed
		return err == nil && parsed >= lowest && parsed <= highest
	}
}

// Float returns a Set function that accepts a number within the limits.
func Float(target *float64, lowest, highest float64) func(string) bool {
	return func(value string) bool {
		parsed, err := strconv.ParseFloat(value, 64)
		*target = parsed
		return err == nil && parsed >= lowest && parsed <= highest
	}
}

// Bool returns a Set function that accepts true or false.
func Bool(target *bool) func(string) bool {
	return func(value string) bool {
		*target = value == "true"
		return value == "true" || value == "false"
	}
}

// OneOf returns a Set function that accepts one of the given words.
func OneOf(target *string, words ...string) func(string) bool {
	return func(value string) bool {
		*target = value
		return slices.Contains(words, value)
	}
}

// Load reads the file and sets all options. It returns the first error.
func Load(file string, options []Option) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return &FileError{File: file, Cause: err}
	}
	return Parse(file, data, options)
}

// Parse sets all options from the contents of an INI file. The name of the file is used
// in errors only.
func Parse(file string, data []byte, options []Option) error {
	loaded, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, data)
	if err != nil {
		return &FileError{File: file, Cause: err}
	}
	if err := rejectUnknown(file, loaded, options); err != nil {
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
	present := section.HasKey(option.Name)
	if present {
		value = section.Key(option.Name).String()
	}
	if !present && option.Required {
		return &Error{File: file, Section: option.Section, Option: option.Name, Allowed: "is required: " + option.Allowed}
	}
	if !option.Set(value) {
		return &Error{File: file, Section: option.Section, Option: option.Name, Value: value, Allowed: option.Allowed}
	}
	return nil
}

func rejectUnknown(file string, loaded *ini.File, options []Option) error {
	for _, section := range loaded.Sections() {
		names := optionNames(section.Name(), options)
		if len(names) == 0 && (section.Name() != ini.DefaultSection || len(section.Keys()) > 0) {
			return &Error{File: file, Section: section.Name(), Allowed: "unknown section; known are " + strings.Join(sectionNames(options), ", ")}
		}
		for _, key := range section.Keys() {
			if !slices.Contains(names, key.Name()) {
				return &Error{File: file, Section: section.Name(), Option: key.Name(), Value: key.Value(),
					Allowed: "unknown option; known are " + strings.Join(names, ", ")}
			}
		}
	}
	return nil
}

func optionNames(section string, options []Option) []string {
	var names []string
	for _, option := range options {
		if option.Section == section {
			names = append(names, option.Name)
		}
	}
	return names
}

func sectionNames(options []Option) []string {
	var names []string
	for _, option := range options {
		if !slices.Contains(names, option.Section) {
			names = append(names, option.Section)
		}
	}
	return names
}
