// Package configtext checks the text of a configuration with the code by which instances decode and validate it, and adds the findings of
// package configcheck with their positions in the text.
package configtext
