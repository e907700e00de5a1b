#include "Demo.h"

#include <iostream>
#include <unistd.h>

namespace {

/// The demo ends within it, whatever happens; its processes die with it.
constexpr unsigned boundSeconds = 118;

}

/// Shows the main job; exits with 1 where a step fails or a promise is broken.
int main()
{
    ::alarm(boundSeconds);
    try {
        const bool isKept = carobpath::demo::Demo().run();
        std::cout << (isKept ? "The demo has ended; every count is as promised.\n" : "A promise was broken; see above.\n");
        return isKept ? 0 : 1;
    } catch (const std::exception& e) {
        std::cerr << "The demo failed: " << e.what() << '\n';
        return 1;
    }
}
