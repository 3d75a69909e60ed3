// Package loading derives the commands that bring the engines of a pool to the versions that the catalog wants.
package loading
