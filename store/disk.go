package store

import "os"

// Disk performs the writes and syncs of logs and journals. The zero value uses
// the operating system's. Tests set the fields to delay or to fail operations.
type Disk struct {
	// Write writes b at the end of f. The default is [os.File.Write].
	Write func(f *os.File, b []byte) (int, error)
	// Sync makes the content of the file or directory f durable. The default is
	// [os.File.Sync].
	Sync func(f *os.File) error
}

func (d Disk) write(f *os.File, b []byte) error {
	write := (*os.File).Write
	if d.Write != nil {
		write = d.Write
	}
	_, err := write(f, b)
	return err
}

func (d Disk) sync(f *os.File) error {
	if d.Sync != nil {
		return d.Sync(f)
	}
	return f.Sync()
}
