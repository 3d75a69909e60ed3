// Package command implements the command line of cassiaspoke.
//
// Exit codes:
//
//	0  success
//	1  failure; if no reply arrived, a change may or may not have been accepted
//	2  wrong usage, or a file that is unreadable, unwritable or invalid
//	3  conflict: another change was accepted first; nothing was changed
//	4  refused by the operators' API; nothing was changed
//
// Exit codes of config check:
//
//	0  nothing found
//	1  errors, or no verdict, such as for an unreadable file or an unknown flag
//	2  warnings and no errors
//	3  differences, and neither errors nor warnings
package command
