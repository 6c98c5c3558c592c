// Package appender appends to and reads from the platform's log service.
package appender
