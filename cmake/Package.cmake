# Functions that define the targets of a package in a uniform layout: a library from src/*.cpp, test programs from
# tests/*Test.cpp, benchmark programs from bench/*Bench.cpp.

# Off for who builds the product: g++ 12 reports a false -Wrestrict in optimized builds of std::string operations. CI
# sets it through the Makefile.
option(DAISYDRIFT_WARNINGS_AS_ERRORS "Treat compiler warnings as errors" OFF)
add_library(daisydrift_warnings INTERFACE)
target_compile_options(daisydrift_warnings INTERFACE -Wall -Wextra $<$<BOOL:${DAISYDRIFT_WARNINGS_AS_ERRORS}>:-Werror>
                       -Wno-missing-field-initializers)

# daisydrift_package(NAME [DEPENDS package...] [PRIVATE_LIBRARIES lib...] [PUBLIC_LIBRARIES lib...])
function(daisydrift_package NAME)
  cmake_parse_arguments(ARG "" "" "DEPENDS;PRIVATE_LIBRARIES;PUBLIC_LIBRARIES" ${ARGN})
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS src/*.cpp src/*.c++)
  add_library(daisydrift_${NAME} STATIC ${sources})
  target_include_directories(daisydrift_${NAME} PUBLIC include PRIVATE src)
  foreach(dependency ${ARG_DEPENDS})
    target_link_libraries(daisydrift_${NAME} PUBLIC daisydrift_${dependency})
  endforeach()
  target_link_libraries(daisydrift_${NAME} PUBLIC ${ARG_PUBLIC_LIBRARIES} PRIVATE daisydrift_warnings ${ARG_PRIVATE_LIBRARIES})
endfunction()

# daisydrift_tests(NAME [LIBRARIES lib...]): one test program per tests/*Test.cpp, linked with the package.
# Other .cpp files in tests/ are compiled into each of them. RapidCheck runs with a fixed seed.
function(daisydrift_tests NAME)
  cmake_parse_arguments(ARG "" "" "LIBRARIES" ${ARGN})
  if(NOT DAISYDRIFT_TESTS)
    return()
  endif()
  file(GLOB programs CONFIGURE_DEPENDS tests/*Test.cpp)
  file(GLOB shared CONFIGURE_DEPENDS tests/*.cpp)
  list(REMOVE_ITEM shared "" ${programs})
  foreach(source ${programs})
    get_filename_component(program ${source} NAME_WE)
    add_executable(${NAME}_${program} ${source} ${shared})
    target_include_directories(${NAME}_${program} PRIVATE tests src)
    target_link_libraries(${NAME}_${program} PRIVATE daisydrift_${NAME} daisydrift_warnings rapidcheck
                          GTest::gmock GTest::gtest_main ${ARG_LIBRARIES})
    add_test(NAME ${NAME}.${program} COMMAND ${NAME}_${program})
    set_tests_properties(${NAME}.${program} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204" TIMEOUT 600)
  endforeach()
endfunction()

# daisydrift_benches(NAME [LIBRARIES lib...]): one program per bench/*Bench.cpp; `make bench` runs them all.
function(daisydrift_benches NAME)
  cmake_parse_arguments(ARG "" "" "LIBRARIES" ${ARGN})
  if(NOT DAISYDRIFT_TESTS)
    return()
  endif()
  file(GLOB programs CONFIGURE_DEPENDS bench/*Bench.cpp)
  file(GLOB shared CONFIGURE_DEPENDS bench/*.cpp)
  list(REMOVE_ITEM shared "" ${programs})
  foreach(source ${programs})
    get_filename_component(program ${source} NAME_WE)
    add_executable(${NAME}_${program} ${source} ${shared})
    target_include_directories(${NAME}_${program} PRIVATE bench src)
    target_link_libraries(${NAME}_${program} PRIVATE daisydrift_${NAME} daisydrift_warnings ${ARG_LIBRARIES})
    set_property(GLOBAL APPEND PROPERTY DAISYDRIFT_BENCHES ${NAME}_${program})
    set_target_properties(${NAME}_${program} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bench)
  endforeach()
endfunction()

# daisydrift_program(TARGET SOURCE [LIBRARIES lib...]): an executable in build/bin.
function(daisydrift_program TARGET SOURCE)
  cmake_parse_arguments(ARG "" "" "LIBRARIES" ${ARGN})
  add_executable(${TARGET} ${SOURCE})
  target_link_libraries(${TARGET} PRIVATE daisydrift_warnings ${ARG_LIBRARIES})
  set_target_properties(${TARGET} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()
