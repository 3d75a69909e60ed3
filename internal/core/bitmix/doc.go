// Package bitmix mixes the bits of hash values, so that all instances rank endpoints in the same pseudorandom order.
package bitmix
