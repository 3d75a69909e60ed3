// Package command is the command line of cassiaspoke.
//
// Exit codes:
//
//	0  done
//	1  failed; whether a change was accepted is unknown when no reply arrived
//	2  wrong usage, or a file that is not as it should be
//	3  conflict: another change was accepted first; nothing was changed
//	4  refused by the operators' API; nothing was changed
package command
