package main

/*
#include <stdlib.h>
*/
import "C" // The platform's runtime needs programs that are linked with the C library.
