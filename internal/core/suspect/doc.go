// Package suspect detects requests whose content crashes endpoints and prevents them from crashing more than two.
package suspect
