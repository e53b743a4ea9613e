package main

/*
#include <stdlib.h>
*/
import "C" // The platform's runtime requires programs that are linked with the C library.
