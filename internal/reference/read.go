package reference

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// Read reads logs of daemons and load files, and the standard input if there is none or for
// -. It returns what was left out beside the load.
func Read(files []string) (*Load, []Problem, error) {
	if len(files) == 0 {
		files = []string{"-"}
	}
	var p problems
	l := &Load{}
	logs := newLogReader(&p)
	sawLog := false
	for _, name := range files {
		isLog, err := readFile(name, l, logs, &p)
		if err != nil {
			return nil, p.list, err
		}
		sawLog = sawLog || isLog
	}
	if sawLog && len(l.Servers) > 0 {
		return nil, p.list, errors.New("logs and load files can't be read together")
	}
	if sawLog {
		l = logs.load()
	}
	slices.SortStableFunc(l.Jobs, func(a, b Job) int { return cmp.Compare(a.AtMs, b.AtMs) })
	slices.SortStableFunc(l.Changes, func(a, b Change) int { return cmp.Compare(a.AtMs, b.AtMs) })
	return l, p.list, nil
}

// readFile reads a file and reports whether it is a log.
func readFile(name string, l *Load, logs *logReader, p *problems) (isLog bool, err error) {
	in, source := os.Stdin, "stdin"
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return false, fmt.Errorf("read: %w", err)
		}
		defer func() { _ = f.Close() }()
		in, source = f, strings.TrimSuffix(filepath.Base(name), ".log")
	}
	var file *fileReader
	lines := 0
	err = eachLine(in, func(number int, line []byte) {
		lines++
		if number == 1 && isLoadFile(line) {
			file = newFileReader(source, l, p)
		}
		if file != nil {
			file.add(number, line)
			return
		}
		logs.add(source, number, line)
	})
	if err != nil {
		return false, fmt.Errorf("read %s: %w", name, err)
	}
	if lines == 0 {
		p.add(source, 1, "the file is empty")
	}
	return file == nil, nil
}
