package document

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"reflect"
	"regexp"
	"sort"
	"strings"

	"github.com/go-playground/validator/v10"
)

// MaxBytes is the maximum size of a document, in bytes. A value in the platform's
// store holds at most a megabyte; the other half is left for the rest of the record
// and for its encoding, see kvstore.Record.
const MaxBytes = 512 << 10

// Problem is one error in a document.
type Problem struct {
	// Path is the path of the field, such as Services[0].Slots, or Document if the
	// problem concerns the document as a whole.
	Path string
	// Text states the problem; the sentence's subject is the field.
	Text string
}

// ProblemsError is the error for an invalid document. It lists every problem found.
type ProblemsError struct{ Problems []Problem }

// Error returns one line for each problem.
func (e *ProblemsError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.Path + ": " + p.Text
	}
	return strings.Join(lines, "\n")
}

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
	validate    = newValidator()
)

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	isName := func(fl validator.FieldLevel) bool { return namePattern.MatchString(fl.Field().String()) }
	if err := v.RegisterValidation("name", isName); err != nil {
		panic(err)
	}
	isAddress := func(fl validator.FieldLevel) bool { return isIPPort(fl.Field().String()) }
	if err := v.RegisterValidation("ip_port", isAddress); err != nil {
		panic(err)
	}
	return v
}

// isIPPort reports whether s is an IP address followed by a port.
func isIPPort(s string) bool {
	_, err := netip.ParseAddrPort(s)
	return err == nil
}

// Digest returns the SHA-256 of the bytes of a document, in hexadecimal.
func Digest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}

// Decode decodes and validates an environment document. An error is always a
// *ProblemsError. CrossFieldChecks run only if each field is valid by itself.
func Decode(b []byte) (*Document, error) {
	var d Document
	if err := DecodeInto(b, &d); err != nil {
		return nil, err
	}
	if p := runCrossFieldChecks(&d); len(p) > 0 {
		return nil, &ProblemsError{p}
	}
	return &d, nil
}

// DecodeInto decodes JSON into v, a pointer to a struct whose fields carry validate
// tags, and validates it. The error is a *ProblemsError that lists all unknown
// fields and wrong types or, if there are none, all values out of bounds, sorted by
// path.
func DecodeInto(b []byte, v any) error {
	if len(b) > MaxBytes {
		return &ProblemsError{[]Problem{{"Document", fmt.Sprintf("is %d bytes, at most %d are allowed", len(b), MaxBytes)}}}
	}
	var raw any
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.UseNumber()
	if err := dec.Decode(&raw); err != nil {
		return &ProblemsError{[]Problem{{"Document", "is not JSON: " + err.Error()}}}
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return &ProblemsError{[]Problem{{"Document", "has data after its end"}}}
	}
	problems := checkTypes(raw, reflect.TypeOf(v).Elem(), "")
	if len(problems) == 0 {
		if err := json.Unmarshal(b, v); err != nil {
			problems = append(problems, Problem{"Document", err.Error()})
		} else {
			problems = append(problems, checkBounds(v)...)
		}
	}
	if len(problems) == 0 {
		return nil
	}
	sort.SliceStable(problems, func(i, j int) bool { return problems[i].Path < problems[j].Path })
	return &ProblemsError{problems}
}

// Validate checks v, a pointer to a struct, against its validate tags only. The
// error is a *ProblemsError.
func Validate(v any) error {
	if p := checkBounds(v); len(p) > 0 {
		return &ProblemsError{p}
	}
	return nil
}

// rawJSON is the type of fields that may hold any JSON value.
var rawJSON = reflect.TypeFor[json.RawMessage]()

// checkTypes returns a problem for each value in raw, decoded JSON, that does not fit
// the Go type t, and for each unknown field.
func checkTypes(raw any, t reflect.Type, path string) []Problem {
	mismatch := func(want string) []Problem {
		return []Problem{{pathOrRoot(path), fmt.Sprintf("must be %s, not %s", want, jsonKind(raw))}}
	}
	if t == rawJSON {
		return nil
	}
	switch t.Kind() {
	case reflect.Struct:
		m, ok := raw.(map[string]any)
		if !ok {
			return mismatch("an object")
		}
		return checkFieldTypes(m, t, path)
	case reflect.Slice:
		list, ok := raw.([]any)
		if !ok {
			return mismatch("a list")
		}
		var problems []Problem
		for i, e := range list {
			problems = append(problems, checkTypes(e, t.Elem(), fmt.Sprintf("%s[%d]", path, i))...)
		}
		return problems
	case reflect.String:
		if _, ok := raw.(string); !ok {
			return mismatch("a string")
		}
	case reflect.Bool:
		if _, ok := raw.(bool); !ok {
			return mismatch("true or false")
		}
	case reflect.Int, reflect.Int64:
		n, ok := raw.(json.Number)
		if !ok {
			return mismatch("a whole number")
		}
		if _, err := n.Int64(); err != nil {
			return mismatch("a whole number")
		}
	case reflect.Float64:
		if _, ok := raw.(json.Number); !ok {
			return mismatch("a number")
		}
	}
	return nil
}

// checkFieldTypes is checkTypes for a JSON object m and a struct type t.
func checkFieldTypes(m map[string]any, t reflect.Type, path string) []Problem {
	var problems []Problem
	known := map[string]bool{}
	for i := range t.NumField() {
		f := t.Field(i)
		known[f.Name] = true
		if raw, ok := m[f.Name]; ok {
			problems = append(problems, checkTypes(raw, f.Type, joinPath(path, f.Name))...)
		}
	}
	for name := range m {
		if !known[name] {
			problems = append(problems, Problem{joinPath(path, name), "is not a known field"})
		}
	}
	return problems
}

// checkBounds returns a problem for each field of v that violates its validate tag.
func checkBounds(v any) []Problem {
	var failed validator.ValidationErrors
	err := validate.Struct(v)
	if err == nil {
		return nil
	}
	if !errors.As(err, &failed) {
		return []Problem{{"Document", err.Error()}}
	}
	problems := make([]Problem, 0, len(failed))
	for _, f := range failed {
		_, path, _ := strings.Cut(f.StructNamespace(), ".")
		problems = append(problems, Problem{path, describeLimit(f.Tag(), f.Param(), f.Kind())})
	}
	return problems
}

// describeLimit returns the wording of one rule of a validate tag, for the texts of
// problems and for the reference page. kind is the kind of the field.
func describeLimit(tag, param string, kind reflect.Kind) string {
	sized := kind == reflect.Slice || kind == reflect.String
	unit := ""
	if kind == reflect.Slice {
		unit = " entries"
	}
	if kind == reflect.String {
		unit = " characters"
	}
	switch tag {
	case "required":
		return "must not be empty"
	case "min":
		return "must be at least " + param + unit
	case "max":
		return "must be at most " + param + unit
	case "gt":
		return "must be above " + param
	case "lt":
		return "must be below " + param
	case "gtefield":
		return "must not be below " + param
	case "unique":
		return "must not repeat a " + param
	case "name":
		return "may hold letters, digits, '.', '_' and '-' only"
	case "oneof":
		return "must be one of: " + param
	case "ip_port":
		return "must be an IP number and a port, such as 127.0.0.1:7000"
	case "hexadecimal":
		return "must be hexadecimal digits"
	}
	if sized {
		return "must satisfy " + tag + unit
	}
	return "must satisfy " + tag + " " + param
}

// jsonKind returns the name of the JSON type of raw, with an article.
func jsonKind(raw any) string {
	switch raw.(type) {
	case nil:
		return "null"
	case string:
		return "a string"
	case bool:
		return "a truth value"
	case json.Number:
		return "a number"
	case []any:
		return "a list"
	}
	return "an object"
}

func pathOrRoot(path string) string {
	if path == "" {
		return "Document"
	}
	return path
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
