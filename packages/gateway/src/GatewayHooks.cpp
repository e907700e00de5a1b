#include "carobpath/gateway/GatewayHooks.h"

#include "carobpath/foundation/EnumTable.h"

#include <array>

namespace carobpath::gateway {

std::string_view toString(AnswerEnd end)
{
    constexpr std::array<EnumRow<AnswerEnd>, 4> ends { {
        { AnswerEnd::Whole, "whole" },
        { AnswerEnd::CutByUpstream, "cut-by-upstream" },
        { AnswerEnd::CutByReceiver, "cut-by-receiver" },
        { AnswerEnd::CutByStop, "cut-by-stop" },
    } };
    return enumText(ends, end);
}

}
