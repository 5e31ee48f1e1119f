#pragma once
// Texts of the state charts in charts/, embedded by CMake.

namespace daisydrift {

extern const char* const kSeatChart;
extern const char* const kLeadershipChart;

} // namespace daisydrift
