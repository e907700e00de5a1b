#include "internal/Commands.h"

#include <array>

namespace carobpath::client::Detail {

std::span<const Command> commands()
{
    static const std::array all {
        checkCommand(),
        publishCommand(),
        statusCommand(),
        objectsCommand(),
        quotasCommand(),
        moveStatusCommand(),
        keyGenerateCommand(),
        keyPublicCommand(),
        timelineCommand(),
        explainCommand(),
    };
    return all;
}

}
