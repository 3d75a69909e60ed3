// Package loading plans the commands that make the engines of a pool load the versions that the catalog calls for.
package loading
