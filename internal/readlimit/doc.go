// Package readlimit bounds what is read from a source that may be faulty. Unlike io.LimitReader, a
// source that exceeds its limit ends with an error, so that a part of it is not taken for the whole.
package readlimit
