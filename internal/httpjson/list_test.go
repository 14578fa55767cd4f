package httpjson

import (
	"strings"
	"testing"
)

func TestDecodeList(t *testing.T) {
	type element struct{ A int }
	cases := map[string]struct {
		text    string
		strict  bool
		want    int
		invalid bool
	}{
		"Empty":        {"[]", false, 0, false},
		"Null":         {"null", false, 0, false},
		"Short":        {`[{"A":1},{}]`, false, 2, false},
		"Full":         {"[{},{},{}]", false, 3, false},
		"TooLong":      {"[" + strings.Repeat("{},", 100_000) + "{}]", false, 4, false},
		"UnknownField": {`[{"B":1}]`, false, 1, false},
		"Strict":       {`[{"B":1}]`, true, 0, true},
		"NoList":       {`{"A":1}`, false, 0, true},
		"WrongType":    {`[{"A":"x"}]`, false, 0, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			list, err := DecodeList[element]([]byte(c.text), 3, c.strict)
			if len(list) != c.want || (err != nil) != c.invalid {
				t.Errorf("%d elements, %v; want %d, invalid %v", len(list), err, c.want, c.invalid)
			}
		})
	}
}
