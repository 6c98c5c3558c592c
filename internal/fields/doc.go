// Package fields encodes and decodes fields of protocol buffers' wire format, for messages that are mapped by hand.
package fields
