package document

import (
	"fmt"
	"io"
	"reflect"
	"strings"
)

// WriteReference writes a Markdown table of the fields of v, a struct with validate
// and doc tags, to w. The fields of nested structs follow their parent.
func WriteReference(w io.Writer, v any) {
	fmt.Fprint(w, "| field | type | limits | meaning |\n|---|---|---|---|\n")
	writeFields(w, reflect.TypeOf(v), "")
}

func writeFields(w io.Writer, t reflect.Type, path string) {
	for i := range t.NumField() {
		f := t.Field(i)
		name := joinPath(path, f.Name)
		elem := f.Type
		if elem.Kind() == reflect.Slice {
			elem, name = elem.Elem(), name+"[]"
		}
		fmt.Fprintf(w, "| `%s` | %s | %s | %s |\n", name, typeName(elem), describeLimits(f), f.Tag.Get("doc"))
		if elem.Kind() == reflect.Struct {
			writeFields(w, elem, name)
		}
	}
}

func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct:
		return "object"
	case reflect.String:
		return "string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "number"
	}
	return "whole number"
}

// describeLimits returns the wording of the validate tag of f.
func describeLimits(f reflect.StructField) string {
	kind := f.Type.Kind()
	var words []string
	for _, tag := range strings.Split(f.Tag.Get("validate"), ",") {
		switch tag {
		case "":
			continue
		case "omitempty":
			words = append(words, "may be left out")
			continue
		}
		if tag == "dive" {
			kind = f.Type.Elem().Kind()
			continue
		}
		name, param, _ := strings.Cut(tag, "=")
		words = append(words, strings.TrimPrefix(describeLimit(name, param, kind), "must "))
	}
	return strings.Join(words, ", ")
}
