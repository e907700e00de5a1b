#include "carobpath/client/Client.h"

#include <iostream>

int main(int argc, char** argv)
{
    const std::vector<std::string> arguments { argv + 1, argv + argc };
    return static_cast<int>(carobpath::client::runClient(arguments, std::cout, std::cerr));
}
