// Command cassiaspoke routes requests to versions of models and to plain services.
package main

import "fmt"

func main() {
	fmt.Println("cassiaspoke")
}
