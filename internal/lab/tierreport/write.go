package tierreport

import (
	"io"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"emberquay/internal/lab/tierlab"
)

// Names of the files of a report.
const (
	TablesFile       = "report.md"
	DayFile          = "day.svg"
	DistributionFile = "distribution.svg"
)

// Write writes a report into a directory, which it creates if needed. It replaces the files of an earlier report.
func Write(dir, title string, result *tierlab.Result) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return eris.Wrap(err, "report")
	}
	for _, part := range []struct {
		name  string
		write partWriter
	}{
		{TablesFile, WriteTables},
		{DayFile, WriteDay},
		{DistributionFile, WriteDistribution},
	} {
		if err := writeFile(filepath.Join(dir, part.name), title, result, part.write); err != nil {
			return eris.Wrap(err, part.name)
		}
	}
	return nil
}

// partWriter writes one file of a report.
type partWriter func(out io.Writer, title string, result *tierlab.Result) error

func writeFile(path, title string, result *tierlab.Result, write partWriter) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := write(file, title, result); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}
