// Package config defines the fleet's configuration, the questionnaire from
// which it is generated, and the settings of one process.
//
// Validation does not stop at the first error: it returns all of them as
// [Findings], each with its file and line where known.
package config
