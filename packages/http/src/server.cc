#include "coltsfoottide/http/server.h"
