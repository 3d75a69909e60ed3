// Package suspect finds requests whose content crashes endpoints and keeps them from crashing more than two.
package suspect
