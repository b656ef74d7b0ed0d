// Package config holds what operators decide: the fleet's configuration, the
// questionnaire that it is generated from, and the settings of one process.
//
// Checks never stop at the first fault: they collect a [Finding] with its file
// and line for every one.
package config
