package httpjson

import (
	"bytes"
	"encoding/json"
	"errors"
)

// DecodeList decodes a JSON list, or null. It stops after limit+1 elements, which show that the list
// is too long: an element of two bytes may take hundreds once it is decoded. If strict is set, a
// field that T doesn't have is an error.
func DecodeList[T any](b []byte, limit int, strict bool) ([]T, error) {
	dec := json.NewDecoder(bytes.NewReader(b))
	if strict {
		dec.DisallowUnknownFields()
	}
	switch start, err := dec.Token(); {
	case err != nil:
		return nil, err
	case start == nil:
		return nil, nil
	case start != json.Delim('['):
		return nil, errors.New("not a list")
	}
	var list []T
	for dec.More() && len(list) <= limit {
		var v T
		if err := dec.Decode(&v); err != nil {
			return nil, err
		}
		list = append(list, v)
	}
	return list, nil
}
