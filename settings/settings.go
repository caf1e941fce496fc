// Package settings reads the JSON settings of a process and checks them as a
// whole.
//
// Unknown fields are refused. Each error names the path of the field, its value
// and what is allowed, and all faults are returned as one error, so that an
// operator can correct them at once.
//
// # Usage
//
// A settings type checks its values in a method Check:
//
//	func (s *Settings) Check(f knapweedpulley.FieldErrors) {
//		f.Address("listen", s.Listen)
//	}
//
//	s, err := settings.Load[Settings]("entry.json")
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"regexp"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
)

// Load reads the JSON settings in a file and checks them.
func Load[T any, P knapweedpulley.CheckerPointer[T]](path string) (T, error) {
	return LoadWithFlags[T, P](path, nil)
}

// LoadWithFlags reads the JSON settings in a file, sets the fields whose flags have a value, and
// checks the result.
func LoadWithFlags[T any, P knapweedpulley.CheckerPointer[T]](path string, values FlagValues) (T, error) {
	var zero T
	data, err := os.ReadFile(path) //nolint:gosec // The operator names the file.
	if err != nil {
		return zero, errors.Wrap(err, "read settings")
	}
	s, err := ParseWithFlags[T, P](data, values)
	return s, errors.Wrapf(err, "%s", path)
}

// Parse decodes JSON settings and checks them.
func Parse[T any, P knapweedpulley.CheckerPointer[T]](data []byte) (T, error) {
	return ParseWithFlags[T, P](data, nil)
}

// FlagValues holds the values of command line flags by the name of the flag.
type FlagValues map[string]*string

// ParseWithFlags decodes JSON settings, sets the fields whose flags have a value, and checks
// the result.
func ParseWithFlags[T any, P knapweedpulley.CheckerPointer[T]](data []byte, values FlagValues) (T, error) {
	var s T
	if err := Decode(data, &s); err != nil {
		return s, err
	}
	var f Faults
	for _, flag := range Flags[T, P](&s) {
		if v := values[flag.Name]; v != nil && *v != "" {
			flag.Set(*v, &f)
		}
	}
	P(&s).Check(&f)
	return s, f.Err()
}

// Flags returns the command line flags that set fields of s.
func Flags[T any, P knapweedpulley.CheckerPointer[T]](s *T) []knapweedpulley.SettingFlag {
	if f, ok := any(P(s)).(knapweedpulley.FlagSettings); ok {
		return f.Flags()
	}
	return nil
}

// Decode decodes one JSON value into v. It refuses unknown fields and data after
// the value.
func Decode(data []byte, v any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return describeDecodeError(data, decoder.InputOffset(), err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("unexpected data after the JSON value")
	}
	return nil
}

// describeDecodeError returns a decoding error with the line of its cause and, for
// a value of a wrong type, the field.
func describeDecodeError(data []byte, offset int64, err error) error {
	var syntax *json.SyntaxError
	var mismatch *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return errors.Newf("line %d: %s", lineAt(data, syntax.Offset), syntax.Error())
	case errors.As(err, &mismatch):
		return errors.Newf("line %d: %s: is a JSON %s, must be %s", lineAt(data, mismatch.Offset), mismatch.Field, mismatch.Value, mismatch.Type.Kind())
	default:
		message := strings.TrimPrefix(err.Error(), "json: ")
		return errors.Newf("line %d: %s", lineAt(data, unknownFieldOffset(data, message, offset)), message)
	}
}

// unknownFieldOffset returns the offset of the field that a decoding error names
// as unknown, or end for any other error. The decoder itself returns only the end
// of the value that contains the field.
func unknownFieldOffset(data []byte, message string, end int64) int64 {
	name, ok := strings.CutPrefix(message, "unknown field ")
	if !ok {
		return end
	}
	field := regexp.MustCompile(regexp.QuoteMeta(name) + `\s*:`)
	if match := field.FindIndex(data); match != nil {
		return int64(match[0])
	}
	return end
}

func lineAt(data []byte, offset int64) int {
	return 1 + bytes.Count(data[:min(offset, int64(len(data)))], []byte("\n"))
}

// Faults collects the values that fail a check. It implements
// knapweedpulley.FieldErrors.
type Faults struct {
	prefix string
	list   *[]string
}

// In returns a list that adds its faults to f under paths that begin with the
// given field.
func (f *Faults) In(format string, args ...any) knapweedpulley.FieldErrors {
	f.init()
	return &Faults{prefix: f.prefix + fmt.Sprintf(format, args...) + ".", list: f.list}
}

// Addf records that the value of a field is not allowed. The format tells what is
// allowed.
func (f *Faults) Addf(field string, value any, format string, args ...any) {
	f.init()
	*f.list = append(*f.list, fmt.Sprintf("%s%s: %q %s", f.prefix, field, fmt.Sprint(value), fmt.Sprintf(format, args...)))
}

// Address requires a host and port.
func (f *Faults) Address(field, value string) {
	host, port, err := net.SplitHostPort(value)
	if err != nil || host == "" || port == "" {
		f.Addf(field, value, "must be host:port")
	}
}

// Required requires a non-empty text.
func (f *Faults) Required(field, value string) {
	if value == "" {
		f.Addf(field, value, "must not be empty")
	}
}

// Positive requires a number above zero.
func (f *Faults) Positive(field string, value float64) {
	if value <= 0 {
		f.Addf(field, value, "must be above 0")
	}
}

// Err returns all faults as one error with a line for each, or nil if there are
// none.
func (f *Faults) Err() error {
	if f.list == nil || len(*f.list) == 0 {
		return nil
	}
	return errors.Newf("%s", strings.Join(*f.list, "\n"))
}

func (f *Faults) init() {
	if f.list == nil {
		f.list = new([]string)
	}
}

// Duration is a time.Duration that is encoded as text, such as "1.5s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Newf("%q must be a duration such as \"1.5s\"", text)
	}
	*d = Duration(v)
	return nil
}

// CheckLogLevel requires the name of a log level or an empty text.
func CheckLogLevel(f knapweedpulley.FieldErrors, field, value string) {
	switch value {
	case "", "debug", "info", "warn", "error":
	default:
		f.Addf(field, value, "must be debug, info, warn or error")
	}
}

// CheckResources checks the settings of a process's memory and descriptors. Zero stands for a default.
func CheckResources(f knapweedpulley.FieldErrors, memoryMB int64, maxFDs int) {
	if memoryMB < 0 {
		f.Addf("memoryMb", memoryMB, "must not be negative")
	}
	if maxFDs < 0 {
		f.Addf("maxFds", maxFDs, "must not be negative")
	}
}
