// Package logbook sets up the log of a process: JSON lines on standard error.
//
// A line identifies the request, customer or version that it is about by an id. It never
// contains a key.
//
// # Usage
//
//	log := logbook.New(os.Stderr, log.InfoLevel, "entry", "entry-1")
//	log.WithField("customer", id).Info("template applied")
package logbook

import (
	"io"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
)

// New returns a logger that writes JSON lines to w. Each line contains the role and the id of the
// process.
func New(w io.Writer, level log.Level, role, id string) log.Interface {
	logger := &log.Logger{Handler: json.New(w), Level: level}
	return logger.WithFields(log.Fields{"role": role, "id": id})
}

// Level returns the level with the given name, or info if the name is unknown.
func Level(name string) log.Level {
	level, err := log.ParseLevel(name)
	if err != nil {
		return log.InfoLevel
	}
	return level
}
