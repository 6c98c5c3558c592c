// Package abbreviator shortens texts whose size another party chooses, before they are kept or logged.
package abbreviator
