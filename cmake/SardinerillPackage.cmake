find_package(Threads REQUIRED)
if(SARDINERILL_TESTS)
  find_package(rapidcheck REQUIRED)
endif()
find_package(nlohmann_json REQUIRED)
find_package(yaml-cpp REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(Boost REQUIRED)

# Declares the library of a package from src/ and, if tests are enabled, its
# test executable from tests/*_test.cpp. src/main.cpp is left out of the library:
# it belongs to an executable.
# Usage: sardinerill_package(NAME [DEPENDS other...] [LINK library...])
function(sardinerill_package NAME)
  cmake_parse_arguments(ARG "" "" "DEPENDS;LINK" ${ARGN})
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS src/*.cpp)
  list(FILTER sources EXCLUDE REGEX "src/main\\.cpp$")
  add_library(sardinerill_${NAME} STATIC ${sources})
  target_include_directories(sardinerill_${NAME} PUBLIC include PRIVATE src)
  target_compile_options(sardinerill_${NAME} PRIVATE -Wall -Wextra
                         -Wno-missing-field-initializers)
  list(TRANSFORM ARG_DEPENDS PREPEND sardinerill_)
  target_link_libraries(sardinerill_${NAME} PUBLIC ${ARG_DEPENDS} ${ARG_LINK}
                        nlohmann_json::nlohmann_json Threads::Threads)
  file(GLOB tests CONFIGURE_DEPENDS tests/*_test.cpp)
  if(tests AND SARDINERILL_TESTS)
    add_executable(${NAME}_tests ${tests}
                   ${PROJECT_SOURCE_DIR}/cmake/testmain.cpp)
    target_include_directories(${NAME}_tests PRIVATE src tests)
    target_compile_options(${NAME}_tests PRIVATE -Wall -Wextra
                         -Wno-missing-field-initializers)
    target_link_libraries(${NAME}_tests PRIVATE sardinerill_${NAME} rapidcheck)
    add_test(NAME ${NAME} COMMAND ${NAME}_tests)
    # Fixed seed: RapidCheck generates the same cases on every run.
    set_tests_properties(${NAME} PROPERTIES TIMEOUT 600 ENVIRONMENT
                         "RC_PARAMS=seed=20261204 max_success=200")
  endif()
endfunction()
