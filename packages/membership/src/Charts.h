#pragma once
// Texts of the state charts in charts/, which CMake embeds in the library.

namespace daisydrift {

extern const char* const kSeatChart;
extern const char* const kLeadershipChart;

} // namespace daisydrift
